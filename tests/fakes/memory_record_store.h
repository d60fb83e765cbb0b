/// In-memory fake of the platform's record store with injected faults.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "jobs/record_store.h"
#include "tests/fakes/virtual_loop.h"

namespace coriandermount::fakes {

/// Fault that the store applies to a call.
enum class store_fault {
    none,
    /// Answers with a refusal and changes nothing.
    refuses_requests,
    /// Does not process the request and does not answer.
    drops_requests,
    /// Processes the request and does not answer.
    drops_answers,
};

/// Record store in virtual time. Answers arrive after the answer time; calls without an answer fail after one second.
class memory_record_store {
public:
    explicit memory_record_store(virtual_loop& loop)
        : m_loop(loop)
    {
    }

    /// Appends records with the results of `jobs::record_store::append`, under the given fault.
    void append(const jobs::append_request& request, store_fault fault, const jobs::record_store::append_completion& done);
    /// Reads records from an offset, as `jobs::record_store::read` does, under the given fault.
    void read(const jobs::record_stream& stream, std::uint64_t from, std::chrono::milliseconds wait, store_fault fault,
        const jobs::record_store::read_completion& done);
    /// Reads the newest record of each key, under the given fault.
    void readNewest(const jobs::record_stream& stream, store_fault fault, const jobs::record_store::read_completion& done);

    /// Sets the delay until the store processes a request and answers.
    void setAnswerTime(std::chrono::milliseconds time) { m_answerTime = time; }

    /// Makes the records of all streams unreadable by offset, as when their retention time has passed. The newest record of
    /// each key remains available through `readNewest`.
    void compact();

private:
    struct stream_state {
        std::vector<jobs::record> records;
        std::uint64_t firstKept = 0;
        struct writer_state {
            std::uint64_t epoch = 0;
            std::map<std::uint64_t, std::uint64_t> offsets;
        };
        std::map<std::string, writer_state> writers;
    };

    result<std::uint64_t> apply(const jobs::append_request& request);
    stream_state& stateOf(const jobs::record_stream& stream) { return m_streams[{ stream.topic, stream.partition }]; }
    void answerRead(
        const jobs::record_stream& stream, std::uint64_t from, time_point until, const jobs::record_store::read_completion& done);

    virtual_loop& m_loop;
    std::chrono::milliseconds m_answerTime { 4 };
    std::map<std::pair<std::string, std::uint32_t>, stream_state> m_streams;
};

} // namespace coriandermount::fakes
