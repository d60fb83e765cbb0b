#include "tests/fakes/memory_record_store.h"

namespace coriandermount::fakes {

namespace {

    constexpr std::chrono::milliseconds callTimeout { 1000 };
    constexpr std::chrono::milliseconds readPollInterval { 1 };

    template <class Done>
    void completeWithFault(virtual_loop& loop, store_fault fault, std::chrono::milliseconds answerTime, const Done& done)
    {
        if (fault == store_fault::refuses_requests)
            loop.after(answerTime, [done] { done(fail(error_kind::log_unavailable, "the store refused the request")); });
        else
            loop.after(callTimeout, [done] { done(fail(error_kind::log_answer_lost, "the store did not answer")); });
    }

} // namespace

result<std::uint64_t> memory_record_store::apply(const jobs::append_request& request)
{
    stream_state& state = stateOf(request.stream);
    if (request.from) {
        auto& writer = state.writers[request.from->name];
        if (request.from->epoch < writer.epoch)
            return fail(error_kind::log_epoch_fenced, "a higher epoch was seen");
        if (request.from->epoch == writer.epoch) {
            if (const auto known = writer.offsets.find(request.from->sequence); known != writer.offsets.end())
                return known->second;
        }
    }
    if (request.expectedEnd && *request.expectedEnd != state.records.size())
        return fail(error_kind::log_position_taken, "the stream does not end at the expected offset");
    const std::uint64_t first = state.records.size();
    for (auto current : request.records) {
        current.offset = state.records.size();
        state.records.push_back(std::move(current));
    }
    if (request.from) {
        auto& writer = state.writers[request.from->name];
        if (request.from->epoch > writer.epoch)
            writer = { request.from->epoch, {} };
        writer.offsets[request.from->sequence] = first;
    }
    return first;
}

void memory_record_store::append(
    const jobs::append_request& request, store_fault fault, const jobs::record_store::append_completion& done)
{
    if (fault == store_fault::refuses_requests || fault == store_fault::drops_requests) {
        completeWithFault(m_loop, fault, m_answerTime, done);
        return;
    }
    m_loop.after(m_answerTime, [this, request, fault, done] {
        const auto answer = apply(request);
        if (fault == store_fault::drops_answers)
            completeWithFault(m_loop, fault, m_answerTime, done);
        else
            done(answer);
    });
}

void memory_record_store::answerRead(
    const jobs::record_stream& stream, std::uint64_t from, time_point until, const jobs::record_store::read_completion& done)
{
    const stream_state& state = stateOf(stream);
    if (from < state.firstKept) {
        done(fail(error_kind::log_records_expired, "the records are no longer kept"));
        return;
    }
    if (from >= state.records.size() && m_loop.now() < until) {
        m_loop.after(readPollInterval, [this, stream, from, until, done] { answerRead(stream, from, until, done); });
        return;
    }
    jobs::record_batch batch;
    batch.end = state.records.size();
    for (std::uint64_t offset = from; offset < batch.end; ++offset)
        batch.records.push_back(state.records[offset]);
    done(std::move(batch));
}

void memory_record_store::read(const jobs::record_stream& stream, std::uint64_t from, std::chrono::milliseconds wait,
    store_fault fault, const jobs::record_store::read_completion& done)
{
    if (fault == store_fault::refuses_requests || fault == store_fault::drops_requests) {
        completeWithFault(m_loop, fault, m_answerTime, done);
        return;
    }
    m_loop.after(m_answerTime, [this, stream, from, wait, done] { answerRead(stream, from, m_loop.now() + wait, done); });
}

void memory_record_store::readNewest(
    const jobs::record_stream& stream, store_fault fault, const jobs::record_store::read_completion& done)
{
    if (fault == store_fault::refuses_requests || fault == store_fault::drops_requests) {
        completeWithFault(m_loop, fault, m_answerTime, done);
        return;
    }
    m_loop.after(m_answerTime, [this, stream, done] {
        std::map<std::string, jobs::record> newest;
        const stream_state& state = stateOf(stream);
        for (const auto& current : state.records)
            newest[current.key] = current;
        jobs::record_batch batch;
        batch.end = state.records.size();
        for (auto& [key, current] : newest) {
            if (current.value)
                batch.records.push_back(current);
        }
        done(std::move(batch));
    });
}

void memory_record_store::compact()
{
    for (auto& [name, state] : m_streams)
        state.firstKept = state.records.size();
}

} // namespace coriandermount::fakes
