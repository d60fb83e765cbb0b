// Tests that a record tail can be stopped, started and destroyed at any time while the store answers on another thread.
#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "jobs/record_tail.h"

using namespace coriandermount;
using namespace std::chrono_literals;

namespace {

struct steady_clock_source final : clock_source {
    time_point now() const override
    {
        return time_point(std::chrono::duration_cast<time_point::duration>(std::chrono::steady_clock::now().time_since_epoch()));
    }
    wall_time wallNow() const override { return wall_time(1s); }
};

/// Store with one more record at each read. It answers on its own thread.
class threaded_store final : public jobs::record_store {
public:
    threaded_store()
        : m_thread([this] { run(); })
    {
    }
    ~threaded_store() override
    {
        {
            const std::scoped_lock lock(m_mutex);
            m_stopping = true;
        }
        m_wake.notify_one();
        m_thread.join();
    }

    void append(jobs::append_request, append_completion) override { }
    void read(const jobs::record_stream&, std::uint64_t from, std::chrono::milliseconds, read_completion done) override
    {
        post([from, done = std::move(done)] { done(jobs::record_batch { { { "key", "value", from } }, from + 1 }); });
    }
    void readNewest(const jobs::record_stream&, read_completion done) override
    {
        post([done = std::move(done)] { done(jobs::record_batch { { { "key", "value", 0 } }, 1 }); });
    }

private:
    void post(std::function<void()> call)
    {
        {
            const std::scoped_lock lock(m_mutex);
            m_calls.push_back(std::move(call));
        }
        m_wake.notify_one();
    }

    void run()
    {
        std::unique_lock lock(m_mutex);
        while (!m_stopping) {
            m_wake.wait(lock, [this] { return m_stopping || !m_calls.empty(); });
            std::deque<std::function<void()>> due;
            due.swap(m_calls);
            lock.unlock();
            for (const auto& call : due)
                call();
            lock.lock();
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::function<void()>> m_calls;
    bool m_stopping = false;
    std::thread m_thread;
};

/// Counts snapshots and expects each record once and in order.
struct checking_listener : jobs::record_listener {
    void onSnapshot(const std::vector<jobs::record>&) override
    {
        ++snapshots;
        next = 1;
    }
    void onRecord(const jobs::record& current) override
    {
        if (current.offset != next)
            inOrder = false;
        next = current.offset + 1;
        ++records;
    }
    void onCaughtUp(time_point) override { }

    std::atomic<int> snapshots { 0 };
    std::atomic<int> records { 0 };
    std::atomic<bool> inOrder { true };
    std::uint64_t next = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_record_tail)

// Guards against two chains of reads: an answer that arrived during a restart read on beside the reads of the restart.
BOOST_AUTO_TEST_CASE(delivers_each_record_once_when_it_is_restarted)
{
    const steady_clock_source clock;
    threaded_store store;
    checking_listener listener;
    jobs::record_tail tail(store, clock, { "topic", 0 }, listener);
    for (int restart = 0; restart < 2000; ++restart) {
        tail.start();
        const int before = listener.records;
        while (listener.records < before + 2)
            std::this_thread::yield();
        tail.stop();
    }
    BOOST_TEST(listener.inOrder);
    BOOST_TEST(listener.snapshots >= 2000);
}

// Guards against calls of a destroyed listener: an answer that had passed the check for a stop was still delivered.
BOOST_AUTO_TEST_CASE(calls_no_listener_after_it_is_destroyed)
{
    const steady_clock_source clock;
    threaded_store store;
    for (int number = 0; number < 2000; ++number) {
        auto listener = std::make_unique<checking_listener>();
        auto tail = std::make_unique<jobs::record_tail>(store, clock, jobs::record_stream { "topic", 0 }, *listener);
        tail->start();
        while (listener->records < 2)
            std::this_thread::yield();
        tail.reset();
        const int delivered = listener->records;
        std::this_thread::yield();
        BOOST_REQUIRE(listener->records == delivered);
        listener.reset();
    }
}

BOOST_AUTO_TEST_CASE(keeps_a_shared_listener_alive_while_it_calls_it)
{
    const steady_clock_source clock;
    threaded_store store;
    for (int number = 0; number < 2000; ++number) {
        auto listener = std::make_shared<checking_listener>();
        auto tail = std::make_unique<jobs::record_tail>(store, clock, jobs::record_stream { "topic", 0 }, listener);
        tail->start();
        while (listener->records < 2)
            std::this_thread::yield();
        tail.reset();
        listener.reset();
    }
}

BOOST_AUTO_TEST_SUITE_END()
