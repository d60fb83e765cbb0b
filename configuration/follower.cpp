#include "configuration/follower.h"

#include <algorithm>
#include <map>

#include <fmt/format.h>
#include <xxhash.h>

#include "configuration/diff.h"
#include "configuration/record.h"
#include "configuration/rules.h"

namespace coriandermount::configuration {

namespace {

    constexpr std::size_t maxHistory = 100;
    constexpr std::chrono::milliseconds fetchInterval { 200 };
    /// Shortest time between two copies that one VM appends.
    constexpr std::chrono::milliseconds copyInterval { 10000 };
    /// A version is at most this far ahead of the offset of its record; more is no result of a lost tail.
    constexpr std::uint64_t maxVersionLead = 1000000;
    constexpr std::uint32_t digestOfNone = 1;
    /// Sentences about one record that are kept.
    constexpr std::size_t maxSentences = 30;

    /// An operator's record on its way through the log.
    struct publication {
        std::vector<publication_id> waiting;
        snapshot candidate;
        time_point startedAt;
        bool appendEnded = false;
    };

    history_entry entryOf(const snapshot& value, platform::log_offset offset)
    {
        return { offset, value.version, value.basedOn, value.recordId, value.author, value.reason, value.publishedAt, {}, {} };
    }

    history_entry entryOf(const record& value, platform::log_offset offset)
    {
        return { offset, 0, value.basedOn, value.recordId, value.author, value.reason, value.publishedAt, {}, {} };
    }

} // namespace

struct follower::data {
    follower_options options;
    std::shared_ptr<const snapshot> current = std::make_shared<const snapshot>();
    time_point now;
    follower_actions out;

    platform::log_offset position = 0;
    platform::log_offset firstKept = 0;
    platform::log_offset fullRecordOffset = 0;
    platform::log_offset currentOffset = 0;
    time_point wholeSeenAt;
    bool reading = false;
    bool logReachable = false;
    bool caughtUp = false;
    /// Until a copy is found in a log that has forgotten its beginning.
    bool searchingCopy = false;
    bool searchEnded = false;
    bool peerHasNone = false;
    time_point nextRead;

    /// Set while a record is waited for whose base is not known.
    std::optional<time_point> holdingSince;
    bool readAgain = false;
    /// Records before this offset have been judged before.
    platform::log_offset judgedUpTo = 0;

    std::optional<time_point> behindSince;
    bool fetching = false;
    time_point nextFetch;

    std::optional<time_point> copyDueSince;
    time_point nextCopy;

    std::map<std::string, publication> publications;
    std::deque<history_entry> history;

    void handle(const poll_tick& event);
    void handle(const log_read_completed& event);
    void handle(const append_completed& event);
    void handle(const peer_revision_received& event);
    void handle(const peer_fetch_completed& event);
    void handle(const publish_requested& event);

    void startRead();
    bool skipsSearching(const platform::log_record& entry, const platform::log_batch& batch);
    bool process(const platform::log_record& entry);
    bool processCopy(const record& value, platform::log_offset offset);
    bool processChange(const record& value, platform::log_offset offset);
    void rejectOld(const record& value, platform::log_offset offset);
    bool holdFor(const record& value, platform::log_offset offset);
    void mergeHistory(const std::vector<history_entry>& entries);
    void endAsAccepted(const history_entry& entry);
    void adopt(snapshot next, platform::log_offset offset);
    void reject(history_entry entry, std::string problem);
    void remember(history_entry entry);
    void noteInLog(const record& value, platform::log_offset offset);
    void handleLostTail(platform::log_offset end);
    void considerCopy(unsigned copyRank);
    const history_entry* find(const std::string& recordId) const;
    bool hasSeen(const std::string& recordId, platform::log_offset offset) const;
    publish_result conflictWith(const snapshot& candidate) const;
    void endPublication(const std::string& recordId, const publish_result& outcome);
    void expirePublications();
    bool isBehind(const peer_revision_received& heard) const;
    std::uint32_t digest() const;
    bool hasSynced() const { return current->version > 0 || caughtUp || peerHasNone; }
};

std::uint32_t follower::data::digest() const
{
    if (current->version == 0)
        return hasSynced() ? digestOfNone : 0;
    return static_cast<std::uint32_t>(XXH3_64bits(current->recordId.data(), current->recordId.size()));
}

void follower::data::startRead()
{
    if (reading)
        return;
    reading = true;
    nextRead = now + options.pollInterval;
    out.emplace_back(read_log { position, options.maxReadRecords });
}

void follower::data::handle(const poll_tick& event)
{
    if (now >= nextRead)
        startRead();
    expirePublications();
    considerCopy(event.copyRank);
}

void follower::data::handle(const log_read_completed& event)
{
    reading = false;
    logReachable = event.batch.has_value();
    if (!logReachable)
        return;
    const platform::log_batch& batch = *event.batch;
    firstKept = batch.firstKept;
    if (batch.end < position) {
        handleLostTail(batch.end);
        return;
    }
    if (fullRecordOffset < firstKept)
        fullRecordOffset = 0;
    const bool forgotBeginning = firstKept > 1 && current->version == 0;
    if (position == 0 && forgotBeginning && !searchEnded)
        searchingCopy = true;
    position = std::max(position, firstKept);
    bool moved = false;
    for (const auto& entry : batch.records) {
        if (entry.offset < position)
            continue;
        if (!skipsSearching(entry, batch) && !process(entry))
            break;
        position = entry.offset + 1;
        moved = true;
    }
    if (position < batch.end) {
        if (moved)
            startRead();
        return;
    }
    if (searchingCopy) {
        // There is no copy, so the records that are left have to do.
        searchingCopy = false;
        searchEnded = true;
        position = firstKept;
        startRead();
        return;
    }
    caughtUp = true;
}

bool follower::data::skipsSearching(const platform::log_record& entry, const platform::log_batch&)
{
    if (!searchingCopy)
        return false;
    const auto value = decodeRecord(entry.body);
    if (!value || !value->acceptedVersion)
        return true;
    searchingCopy = false;
    searchEnded = true;
    return false;
}

/// The log forgot its newest records; what is in force stays, and what came instead is read from the start.
void follower::data::handleLostTail(platform::log_offset end)
{
    if (currentOffset >= end)
        currentOffset = 0;
    if (fullRecordOffset >= end)
        fullRecordOffset = 0;
    judgedUpTo = std::max(judgedUpTo, position);
    position = firstKept;
    caughtUp = false;
    startRead();
}

bool follower::data::process(const platform::log_record& entry)
{
    const auto value = decodeRecord(entry.body);
    if (!value) {
        history_entry skipped;
        skipped.offset = entry.offset;
        reject(std::move(skipped), value.error().detail);
        return true;
    }
    return value->acceptedVersion ? processCopy(*value, entry.offset) : processChange(*value, entry.offset);
}

void follower::data::noteInLog(const record& value, platform::log_offset offset)
{
    currentOffset = offset;
    if (value.changes)
        return;
    fullRecordOffset = offset;
    wholeSeenAt = now;
}

bool follower::data::processCopy(const record& value, platform::log_offset offset)
{
    if (*value.acceptedVersion > offset + maxVersionLead) {
        reject(entryOf(value, offset), fmt::format("version {} is too far ahead of the log", *value.acceptedVersion));
        return true;
    }
    auto next = applyRecord(value, *current);
    if (!next) {
        reject(entryOf(value, offset), next.error().detail);
        return true;
    }
    next->version = *value.acceptedVersion;
    if (next->version == current->version && next->recordId == current->recordId)
        noteInLog(value, offset);
    else if (isNewer(*next, *current)) {
        adopt(std::move(*next), offset);
        noteInLog(value, offset);
    }
    return true;
}

bool follower::data::processChange(const record& value, platform::log_offset offset)
{
    if (value.recordId == current->recordId) {
        noteInLog(value, offset);
        return true;
    }
    if (const history_entry* known = find(value.recordId); known && known->version > 0)
        return true;
    if (value.basedOn > current->version)
        return holdFor(value, offset);
    if (value.basedOn < current->version) {
        rejectOld(value, offset);
        return true;
    }
    auto next = applyRecord(value, *current);
    if (!next) {
        reject(entryOf(value, offset), next.error().detail);
        return true;
    }
    // The offset, unless the log lost its tail and hands out offsets again.
    next->version = std::max(current->version + 1, offset);
    adopt(std::move(*next), offset);
    noteInLog(value, offset);
    return true;
}

/// A record lost when another one with the same base was accepted. When this VM has not seen which one was, as after a fetch
/// from a peer, it says nothing.
void follower::data::rejectOld(const record& value, platform::log_offset offset)
{
    const auto winner = std::find_if(history.begin(), history.end(),
        [&value](const history_entry& entry) { return entry.version > 0 && entry.basedOn == value.basedOn; });
    if (winner == history.end())
        return;
    reject(entryOf(value, offset),
        fmt::format("it is based on version {}, as is version {} by {}, which came first", value.basedOn, winner->version,
            winner->author));
}

/// Waits for peers to bring the base of a record; it may also stand in a part of the log that was replaced after a lost tail.
bool follower::data::holdFor(const record& value, platform::log_offset offset)
{
    if (!holdingSince) {
        holdingSince = now;
        readAgain = true;
    }
    if (std::exchange(readAgain, false) && firstKept < offset) {
        judgedUpTo = std::max(judgedUpTo, offset);
        position = firstKept;
        startRead();
        return false;
    }
    if (now - *holdingSince < options.missingBaseTimeout)
        return false;
    holdingSince.reset();
    reject(entryOf(value, offset),
        fmt::format("it is based on version {}, which neither the log nor a reachable VM holds", value.basedOn));
    return true;
}

void follower::data::adopt(snapshot next, platform::log_offset offset)
{
    if (!isNewer(next, *current))
        return;
    history_entry entry = entryOf(next, offset);
    entry.changes = describeChanges(*current, next);
    if (entry.changes.size() > maxSentences) {
        const std::size_t more = entry.changes.size() - maxSentences;
        entry.changes.resize(maxSentences);
        entry.changes.push_back(fmt::format("and {} more changes", more));
    }
    currentOffset = 0;
    holdingSince.reset();
    behindSince.reset();
    current = std::make_shared<const snapshot>(std::move(next));
    if (const history_entry* known = find(entry.recordId); !known || known->version == 0)
        remember(entry);
    out.emplace_back(snapshot_adopted { current, entry });
    endAsAccepted(entry);
}

void follower::data::endAsAccepted(const history_entry& entry)
{
    publish_result outcome;
    outcome.recordId = entry.recordId;
    outcome.version = entry.version;
    outcome.changes = entry.changes;
    endPublication(entry.recordId, outcome);
}

/// Takes over what a peer knows of records that this VM has passed over by fetching a newer version.
void follower::data::mergeHistory(const std::vector<history_entry>& entries)
{
    for (const auto& entry : entries) {
        const history_entry* known = find(entry.recordId);
        if (entry.version <= current->version || (known && known->version > 0))
            continue;
        remember(entry);
        endAsAccepted(entry);
    }
}

void follower::data::reject(history_entry entry, std::string problem)
{
    const bool known = std::any_of(history.begin(), history.end(), [&entry](const history_entry& old) {
        return old.recordId == entry.recordId && (old.version > 0 || old.offset == entry.offset);
    });
    const bool old = entry.offset < judgedUpTo && !publications.contains(entry.recordId);
    if (known || old)
        return;
    entry.problem = std::move(problem);
    remember(entry);
    if (const auto own = publications.find(entry.recordId); own != publications.end()) {
        publish_result outcome = conflictWith(own->second.candidate);
        if (own->second.candidate.basedOn == current->version)
            outcome.problem = error { error_kind::configuration_invalid, entry.problem, std::nullopt };
        endPublication(entry.recordId, outcome);
    }
    out.emplace_back(record_rejected { std::move(entry) });
}

void follower::data::remember(history_entry entry)
{
    history.push_back(std::move(entry));
    if (history.size() > maxHistory)
        history.pop_front();
}

const history_entry* follower::data::find(const std::string& recordId) const
{
    const auto found = std::find_if(
        history.rbegin(), history.rend(), [&recordId](const history_entry& entry) { return entry.recordId == recordId; });
    return found == history.rend() ? nullptr : &*found;
}

/// Whether an append whose answer comes now has been read back before.
bool follower::data::hasSeen(const std::string& recordId, platform::log_offset offset) const
{
    const history_entry* known = find(recordId);
    return (known && known->offset == offset) || (recordId == current->recordId && currentOffset >= offset);
}

bool follower::data::isBehind(const peer_revision_received& heard) const
{
    if (heard.version == 0)
        return false;
    return heard.version > current->version || (heard.version == current->version && heard.digest != digest());
}

void follower::data::handle(const peer_revision_received& event)
{
    if (event.version == 0 && event.digest == digestOfNone)
        peerHasNone = true;
    if (!isBehind(event) || fetching || now < nextFetch)
        return;
    if (!behindSince)
        behindSince = now;
    // The log brings only what changed, so it goes first while it answers.
    if (logReachable && caughtUp && now - *behindSince < options.fetchDelay) {
        startRead();
        return;
    }
    fetching = true;
    nextFetch = now + fetchInterval;
    out.emplace_back(fetch_from_peer { event.peerAddress });
}

void follower::data::handle(const peer_fetch_completed& event)
{
    fetching = false;
    if (!event.state || !findRuleViolations(event.state->current).empty() || !isNewer(event.state->current, *current))
        return;
    const bool joining = current->version == 0;
    if (joining) {
        history.assign(event.state->history.begin(), event.state->history.end());
        for (const auto& entry : event.state->history) {
            if (entry.version > 0)
                endAsAccepted(entry);
        }
        position = std::max(position, event.state->nextOffset);
        searchingCopy = false;
        searchEnded = true;
    }
    mergeHistory(event.state->history);
    adopt(event.state->current, event.state->currentOffset);
    currentOffset = event.state->currentOffset;
    if (fullRecordOffset == 0) {
        fullRecordOffset = event.state->fullRecordOffset;
        wholeSeenAt = now;
    }
}

void follower::data::considerCopy(unsigned copyRank)
{
    const bool missing = currentOffset == 0 || fullRecordOffset == 0;
    const bool due = current->version > 0 && logReachable && caughtUp && (missing || now - wholeSeenAt >= options.copyAfter);
    if (!due) {
        copyDueSince.reset();
        return;
    }
    if (!copyDueSince)
        copyDueSince = now;
    if (now - *copyDueSince < options.copyRankDelay * copyRank || now < nextCopy)
        return;
    nextCopy = now + copyInterval;
    out.emplace_back(append_record { current->recordId, encodeRecord(makeCopy(*current)) });
}

publish_result follower::data::conflictWith(const snapshot& candidate) const
{
    publish_result outcome;
    outcome.recordId = candidate.recordId;
    outcome.version = current->version;
    outcome.winner = entryOf(*current, currentOffset);
    outcome.problem = error { error_kind::publish_conflict,
        fmt::format("it is based on version {}, but version {} by {} is in force: {}", candidate.basedOn, current->version,
            current->author, current->reason),
        std::nullopt };
    for (const auto& entry : history) {
        if (entry.version > candidate.basedOn)
            outcome.changes.insert(outcome.changes.end(), entry.changes.begin(), entry.changes.end());
    }
    return outcome;
}

void follower::data::handle(const publish_requested& event)
{
    const snapshot& candidate = event.candidate;
    const auto answer = [this, &event](publish_result outcome) {
        outcome.recordId = event.candidate.recordId;
        out.emplace_back(publish_completed { event.publication, std::move(outcome) });
    };
    if (const auto open = publications.find(candidate.recordId); open != publications.end()) {
        open->second.waiting.push_back(event.publication);
        return;
    }
    const history_entry* known = find(candidate.recordId);
    if (known && known->version > 0) {
        answer({ std::nullopt, {}, known->version, known->changes, std::nullopt });
        return;
    }
    if (!hasSynced()) {
        answer({ error { error_kind::configuration_missing, "this VM has not learned the configuration yet", std::nullopt }, {},
            0, {}, std::nullopt });
        return;
    }
    if (candidate.basedOn != current->version) {
        answer(conflictWith(candidate));
        return;
    }
    if (const auto problems = findRuleViolations(candidate); !problems.empty()) {
        answer({ error { error_kind::configuration_invalid, joinProblems(problems), std::nullopt }, {}, 0, {}, std::nullopt });
        return;
    }
    publications[candidate.recordId] = { { event.publication }, candidate, now, false };
    out.emplace_back(append_record { candidate.recordId, encodeRecord(makeRecord(candidate, *current)) });
}

void follower::data::handle(const append_completed& event)
{
    if (event.offset && *event.offset < position && !hasSeen(event.recordId, *event.offset)) {
        // The offset had been taken before, so the log has lost its tail.
        handleLostTail(*event.offset);
    }
    const auto own = publications.find(event.recordId);
    if (own == publications.end()) {
        startRead();
        return;
    }
    own->second.appendEnded = true;
    own->second.startedAt = now;
    if (!event.offset && event.offset.error().kind != error_kind::log_answer_lost) {
        publish_result outcome;
        outcome.problem = event.offset.error();
        endPublication(event.recordId, outcome);
        return;
    }
    startRead();
}

void follower::data::endPublication(const std::string& recordId, const publish_result& outcome)
{
    auto node = publications.extract(recordId);
    if (!node)
        return;
    for (const publication_id waiting : node.mapped().waiting) {
        publish_result own = outcome;
        own.recordId = recordId;
        out.emplace_back(publish_completed { waiting, std::move(own) });
    }
}

void follower::data::expirePublications()
{
    std::vector<std::string> expired;
    for (const auto& [recordId, open] : publications) {
        if (open.appendEnded && now - open.startedAt >= options.publishTimeout)
            expired.push_back(recordId);
        else if (open.appendEnded)
            startRead();
    }
    for (const auto& recordId : expired) {
        publish_result outcome;
        outcome.problem = error { error_kind::publish_unknown,
            fmt::format("the log may hold record {}; ask for that record again before publishing anew", recordId), std::nullopt };
        endPublication(recordId, outcome);
    }
}

follower::follower(follower_options options)
    : m_data(std::make_unique<data>())
{
    m_data->options = options;
}

follower::~follower() = default;

follower_actions follower::handle(const follower_event& event, time_point now)
{
    m_data->now = now;
    std::visit([this](const auto& value) { m_data->handle(value); }, event);
    follower_actions actions;
    actions.swap(m_data->out);
    return actions;
}

const std::shared_ptr<const snapshot>& follower::current() const { return m_data->current; }

bool follower::hasSynced() const { return m_data->hasSynced(); }

std::uint32_t follower::digest() const { return m_data->digest(); }

peer_state follower::stateForPeer() const
{
    return { *m_data->current, m_data->position, m_data->fullRecordOffset, m_data->currentOffset,
        { m_data->history.begin(), m_data->history.end() } };
}

const std::deque<history_entry>& follower::history() const { return m_data->history; }

std::optional<history_entry> follower::outcomeOf(const std::string& recordId) const
{
    const history_entry* found = m_data->find(recordId);
    return found ? std::optional<history_entry>(*found) : std::nullopt;
}

} // namespace coriandermount::configuration
