#include "core/job.h"

#include <array>

#include <xxhash.h>

namespace coriandermount {

namespace {

    /// Computes the XXH3 digest of a sequence of values.
    class digest_builder {
    public:
        digest_builder() { XXH3_64bits_reset(m_state.get()); }

        void add(const std::string& text)
        {
            add(text.size());
            XXH3_64bits_update(m_state.get(), text.data(), text.size());
        }

        void add(std::uint64_t number) { XXH3_64bits_update(m_state.get(), &number, sizeof(number)); }

        std::uint64_t value() const { return XXH3_64bits_digest(m_state.get()); }

    private:
        struct release {
            void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
        };
        std::unique_ptr<XXH3_state_t, release> m_state { XXH3_createState() };
    };

} // namespace

std::string_view nameOf(task_state state)
{
    constexpr std::array<std::string_view, 5> names { "waiting", "running", "done", "failed", "not_started" };
    return names[static_cast<std::size_t>(state)];
}

std::uint64_t contentDigestOf(const job_request& job)
{
    digest_builder digest;
    digest.add(static_cast<std::uint64_t>(job.idempotent));
    for (const auto& task : job.tasks) {
        digest.add(task.service.value);
        digest.add(task.payload);
        digest.add(static_cast<std::uint64_t>(task.declaredRunTime.count()));
        digest.add(task.memoryMegabytes);
        digest.add(task.accelerators);
        digest.add(static_cast<std::uint64_t>(task.declaredClass));
    }
    return digest.value();
}

job_answer refusedAnswer(const job_key& key, error problem)
{
    job_answer answer;
    answer.key = key;
    answer.result = rowOf(problem.kind).result;
    answer.problem = std::move(problem);
    return answer;
}

} // namespace coriandermount
