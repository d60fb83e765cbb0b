/// The platform's record store in memory, with its faults.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "jobs/record_store.h"
#include "tests/fakes/virtual_loop.h"

namespace coriandermount::fakes {

/// How the store treats the calls of one VM.
enum class store_fault {
    none,
    /// Refuses at once; nothing is done.
    refuses_requests,
    /// Does nothing and does not answer.
    drops_requests,
    /// Does what it is asked and does not answer.
    drops_answers,
};

class memory_record_store {
public:
    explicit memory_record_store(virtual_loop& loop)
        : m_loop(loop)
    {
    }

    void append(const jobs::append_request& request, store_fault fault, const jobs::record_store::append_completion& done);
    void read(const jobs::record_stream& stream, std::uint64_t from, std::chrono::milliseconds wait, store_fault fault,
        const jobs::record_store::read_completion& done);
    void readNewest(const jobs::record_stream& stream, store_fault fault, const jobs::record_store::read_completion& done);

    /// Time until the store answers, or does what it is asked.
    void setAnswerTime(std::chrono::milliseconds time) { m_answerTime = time; }

    /// Drops all but the newest record of each key, as when the retention time runs out.
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
