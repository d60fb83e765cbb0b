/// An owner with little processor time, in virtual time.
#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <utility>

#include "tests/fakes/cell_load_run.h"

namespace coriandermount::fakes {

/// Carries out calls one after the other, each of which takes processor time.
class serial_processor {
public:
    explicit serial_processor(virtual_loop& loop)
        : m_loop(loop)
    {
    }

    /// Runs `work` once all earlier work is done and `cost` has passed.
    void run(std::chrono::microseconds cost, std::function<void()> work)
    {
        m_freeAt = std::max(m_freeAt, m_loop.now()) + cost;
        m_loop.after(std::chrono::ceil<std::chrono::milliseconds>(m_freeAt - m_loop.now()), std::move(work));
    }

    /// Returns the time until all work is done.
    std::chrono::milliseconds backlog() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::max(m_freeAt, m_loop.now()) - m_loop.now());
    }

private:
    virtual_loop& m_loop;
    time_point m_freeAt;
};

/// Processor time of the calls of an owner.
struct call_costs {
    std::chrono::microseconds request { 300 };
    std::chrono::microseconds answer { 200 };
    std::chrono::microseconds start { 800 };
    std::chrono::microseconds startAnswer { 400 };
    std::chrono::microseconds stop { 500 };
    std::chrono::microseconds poll { 300 };
    std::chrono::microseconds pollAnswer { 300 };
    std::chrono::microseconds tick { 200 };
};

/// A load on an owner whose calls take processor time. An answer that has arrived is handled however late the owner gets to it.
class busy_owner : public cell_load_run {
public:
    using cell_load_run::cell_load_run;

    serial_processor processor { loop };
    call_costs costs;
    /// Backlog that other work of the VM keeps up.
    std::chrono::milliseconds otherBacklog { 0 };
    /// Longest backlog of the processor so far.
    std::chrono::milliseconds longestBacklog { 0 };

protected:
    void tickOwner() override
    {
        if (processor.backlog() < otherBacklog)
            processor.run(otherBacklog - processor.backlog(), [] {});
        longestBacklog = std::max(longestBacklog, processor.backlog());
        if (std::exchange(m_tickWaits, true))
            return;
        processor.run(costs.tick, [this] {
            m_tickWaits = false;
            owner.tick();
        });
    }
    void runOnOwner(jobs::run_request request, cells::job_completion done) override
    {
        processor.run(costs.request, [this, request = std::move(request), done = std::move(done)] {
            // An answer that is given in the call itself needs no turn of its own.
            const auto inCall = std::make_shared<bool>(true);
            owner.run(request, [this, done, inCall](const result<jobs::job_state>& answer) {
                if (*inCall)
                    done(answer);
                else
                    processor.run(costs.answer, [done, answer] { done(answer); });
            });
            *inCall = false;
        });
    }
    void start(
        const cells::worker_registration& worker, const cells::start_order& order, completion<cells::order_answer> done) override
    {
        processor.run(costs.start, [this, worker, order, done = std::move(done)] {
            cell_load_run::start(worker, order, handled<cells::order_answer>(costs.startAnswer, done));
        });
    }
    void stop(
        const cells::worker_registration& worker, const cells::stop_order& order, completion<cells::order_answer> done) override
    {
        processor.run(costs.stop, [this, worker, order, done = std::move(done)] {
            cell_load_run::stop(worker, order, handled<cells::order_answer>(costs.startAnswer, done));
        });
    }
    void poll(
        const cells::worker_registration& worker, const cells::poll_order& order, completion<cells::poll_answer> done) override
    {
        processor.run(costs.poll, [this, worker, order, done = std::move(done)] {
            cell_load_run::poll(worker, order, handled<cells::poll_answer>(costs.pollAnswer, done));
        });
    }

private:
    template <class Answer> completion<Answer> handled(std::chrono::microseconds cost, completion<Answer> done)
    {
        return [this, cost, done = std::move(done)](const tl::expected<Answer, cells::order_failure>& answer) {
            processor.run(cost, [done, answer] { done(answer); });
        };
    }

    bool m_tickWaits = false;
};

} // namespace coriandermount::fakes
