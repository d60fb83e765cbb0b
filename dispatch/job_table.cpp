#include "dispatch/job_table.h"

namespace coriandermount::dispatch {

open_job& job_table::add(open_job job)
{
    m_byKey[job.request->key] = job.serial;
    const job_serial serial = job.serial;
    return m_jobs.insert_or_assign(serial, std::move(job)).first->second;
}

open_job* job_table::find(job_serial serial)
{
    const auto found = m_jobs.find(serial);
    return found == m_jobs.end() ? nullptr : &found->second;
}

open_job* job_table::findUnanswered(const job_key& key)
{
    const auto found = m_byKey.find(key);
    return found == m_byKey.end() ? nullptr : find(found->second);
}

void job_table::markAnswered(open_job& job)
{
    job.answered = true;
    const auto found = m_byKey.find(job.request->key);
    if (found != m_byKey.end() && found->second == job.serial)
        m_byKey.erase(found);
}

void job_table::erase(job_serial serial) { m_jobs.erase(serial); }

} // namespace coriandermount::dispatch
