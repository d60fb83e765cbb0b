/// Owner of a single cell in virtual time, for tests that send it requests and worker lists themselves.
#pragma once

#include <string>
#include <vector>

#include "cells/cell_owner.h"
#include "tests/fakes/memory_record_store.h"
#include "tests/fakes/virtual_workers.h"

namespace coriandermount::fakes {

/// A `cell_owner` with a store and workers that run in virtual time. Not thread-safe.
class single_owner : protected jobs::record_store, protected cells::worker_link {
public:
    explicit single_owner(const cells::cell_settings& settings = {})
        : owner(*this, *this, loop, { "jobs", 0 }, settings)
    {
    }

    single_owner(const single_owner&) = delete;
    single_owner& operator=(const single_owner&) = delete;

    /// Advances time by `duration` and ticks the owner every 10 ms.
    void runFor(std::chrono::milliseconds duration)
    {
        constexpr std::chrono::milliseconds tickInterval { 10 };
        for (auto passed = std::chrono::milliseconds(0); passed < duration; passed += tickInterval) {
            loop.runFor(tickInterval);
            tickOwner();
        }
    }

    /// Returns a request of the term `epoch` to run a job of `tasks` tasks of 7 cores that run for `duration`.
    jobs::run_request request(
        std::uint64_t epoch, const std::string& jobId, std::uint32_t tasks, std::chrono::milliseconds duration) const
    {
        jobs::run_request request;
        request.accepted.work = { jobId, "queue", std::to_string(duration.count()), {}, true };
        jobs::step step;
        step.taskCount = tasks;
        step.need = { 7000, 64, 0 };
        step.estimate = duration;
        request.accepted.work.steps.push_back(step);
        request.accepted.service.value = "service";
        request.accepted.maxAttempts = 3;
        request.accepted.objective = duration + std::chrono::milliseconds(1000);
        request.accepted.acceptedAt = loop.wallNow();
        request.timeLeft = std::chrono::milliseconds(10000);
        request.ownerEpoch = epoch;
        return request;
    }

    /// Sends a request to the owner and records its answer in `answers`.
    void run(jobs::run_request request)
    {
        owner.run(std::move(request), [this](const result<jobs::job_state>& answer) { answers.push_back(answer); });
    }

    virtual_loop loop;
    memory_record_store records { loop };
    virtual_workers workers { loop };
    /// Answers in the order of their arrival.
    std::vector<result<jobs::job_state>> answers;
    cells::cell_owner owner;

protected:
    virtual void tickOwner() { owner.tick(); }
    void append(jobs::append_request request, append_completion done) override
    {
        records.append(request, store_fault::none, done);
    }
    void read(
        const jobs::record_stream& stream, std::uint64_t from, std::chrono::milliseconds wait, read_completion done) override
    {
        records.read(stream, from, wait, store_fault::none, done);
    }
    void readNewest(const jobs::record_stream& stream, read_completion done) override
    {
        records.readNewest(stream, store_fault::none, done);
    }
    void start(
        const cells::worker_registration& worker, const cells::start_order& order, completion<cells::order_answer> done) override
    {
        workers.start(worker.id, order, done);
    }
    void stop(
        const cells::worker_registration& worker, const cells::stop_order& order, completion<cells::order_answer> done) override
    {
        workers.stop(worker.id, order, done);
    }
    void poll(
        const cells::worker_registration& worker, const cells::poll_order& order, completion<cells::poll_answer> done) override
    {
        workers.poll(worker.id, order, done);
    }
};

} // namespace coriandermount::fakes
