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

    constexpr std::size_t maxHistoryEntries = 100;
    /// Shortest time between two fetches from peers.
    constexpr std::chrono::milliseconds minFetchInterval { 200 };
    /// Shortest time between two copies that one VM appends.
    constexpr std::chrono::milliseconds minCopyInterval { 10000 };
    /// Largest accepted lead of a copy's version over the offset of its record. Versions run ahead of offsets only after a
    /// truncated tail, which can't explain a larger lead.
    constexpr std::uint64_t maxVersionLead = 1000000;
    /// Digest that a VM reports when it knows that no configuration has been published.
    constexpr std::uint32_t noConfigurationDigest = 1;
    /// Largest number of change descriptions that the history keeps for one record.
    constexpr std::size_t maxChangeDescriptions = 30;

    /// Holds a publication whose record has not been read back from the log yet.
    struct pending_publication {
        /// Publish requests with this record id; the same outcome completes all of them.
        std::vector<publication_id> requests;
        snapshot candidate;
        time_point startedAt;
        bool appendCompleted = false;
        /// Whether the log may hold the record although this append failed.
        bool mayBeInLog = false;
    };

    error unknownOutcome(const std::string& recordId)
    {
        return { error_kind::publish_unknown,
            fmt::format("the outcome of record {} is unknown, because the log may hold it; query this record before publishing "
                        "another one",
                recordId),
            std::nullopt };
    }

    history_entry makeHistoryEntry(const snapshot& value, platform::log_offset offset)
    {
        return { offset, value.version, value.basedOn, value.recordId, value.author, value.reason, value.publishedAt, {}, {} };
    }

    history_entry makeHistoryEntry(const record& value, platform::log_offset offset)
    {
        return { offset, 0, value.basedOn, value.recordId, value.author, value.reason, value.publishedAt, {}, {} };
    }

} // namespace

struct follower::data {
    follower_options options;
    std::shared_ptr<const snapshot> current = std::make_shared<const snapshot>();
    time_point now;
    follower_actions pendingActions;

    platform::log_offset readOffset = 0;
    platform::log_offset firstKept = 0;
    platform::log_offset fullRecordOffset = 0;
    platform::log_offset currentOffset = 0;
    time_point fullRecordSeenAt;
    bool reading = false;
    bool logReachable = false;
    bool caughtUp = false;
    /// Set while all records but copies are skipped, because the log has discarded its oldest records.
    bool searchingForCopy = false;
    bool copySearchDone = false;
    bool peerHasNoConfiguration = false;
    time_point nextReadAt;

    /// Start of the wait for the unknown base version of the record at `readOffset`; empty when there is no such wait.
    std::optional<time_point> waitingForBaseSince;
    /// Set until the log has been read again from its first kept record for the current wait.
    bool rereadDue = false;
    /// Records before this offset have been evaluated before; their rejections are not reported again.
    platform::log_offset evaluatedUpTo = 0;

    std::optional<time_point> behindSince;
    bool fetching = false;
    time_point nextFetchAt;

    std::optional<time_point> copyDueSince;
    time_point nextCopyAt;

    /// Pending publications by record id.
    std::map<std::string, pending_publication> publications;
    std::deque<history_entry> history;

    void handle(const poll_tick& event);
    void handle(const log_read_completed& event);
    void handle(const append_completed& event);
    void handle(const peer_revision_received& event);
    void handle(const peer_fetch_completed& event);
    void handle(const publish_requested& event);

    void startRead();
    bool isSkippedByCopySearch(const platform::log_record& entry, const platform::log_batch& batch);
    bool process(const platform::log_record& entry);
    bool processCopy(const record& value, platform::log_offset offset);
    bool processPublishedRecord(const record& value, platform::log_offset offset);
    void rejectStale(const record& value, platform::log_offset offset);
    bool waitForBase(const record& value, platform::log_offset offset);
    void mergeHistory(const std::vector<history_entry>& entries);
    void completeAsAccepted(const history_entry& entry);
    void adopt(snapshot next, platform::log_offset offset);
    void reject(history_entry entry, std::string problem);
    void addToHistory(history_entry entry);
    void setLogOffsets(const record& value, platform::log_offset offset);
    void handleTruncatedTail(platform::log_offset end);
    void appendCopyIfDue(unsigned copyRank);
    const history_entry* findInHistory(const std::string& recordId) const;
    const history_entry* acceptedOnBase(std::uint64_t basedOn) const;
    bool wasReadBack(const std::string& recordId, platform::log_offset offset) const;
    publish_result makeConflictResult(const snapshot& candidate) const;
    void completePublication(const std::string& recordId, const publish_result& outcome);
    void expirePublications();
    bool isBehind(const peer_revision_received& peer) const;
    std::uint32_t digest() const;
    bool hasSynced() const { return current->version > 0 || caughtUp || peerHasNoConfiguration; }
};

std::uint32_t follower::data::digest() const
{
    if (current->version == 0)
        return hasSynced() ? noConfigurationDigest : 0;
    return static_cast<std::uint32_t>(XXH3_64bits(current->recordId.data(), current->recordId.size()));
}

void follower::data::startRead()
{
    if (reading)
        return;
    reading = true;
    nextReadAt = now + options.pollInterval;
    pendingActions.emplace_back(read_log { readOffset, options.maxReadRecords });
}

void follower::data::handle(const poll_tick& event)
{
    if (now >= nextReadAt)
        startRead();
    expirePublications();
    appendCopyIfDue(event.copyRank);
}

void follower::data::handle(const log_read_completed& event)
{
    reading = false;
    logReachable = event.batch.has_value();
    if (!logReachable)
        return;
    const platform::log_batch& batch = *event.batch;
    firstKept = batch.firstKept;
    if (batch.end < readOffset) {
        handleTruncatedTail(batch.end);
        return;
    }
    if (fullRecordOffset < firstKept)
        fullRecordOffset = 0;
    const bool beginningDiscarded = firstKept > 1 && current->version == 0;
    if (readOffset == 0 && beginningDiscarded && !copySearchDone)
        searchingForCopy = true;
    readOffset = std::max(readOffset, firstKept);
    bool progressed = false;
    for (const auto& entry : batch.records) {
        if (entry.offset < readOffset)
            continue;
        if (!isSkippedByCopySearch(entry, batch) && !process(entry))
            break;
        readOffset = entry.offset + 1;
        progressed = true;
    }
    if (readOffset < batch.end) {
        if (progressed)
            startRead();
        return;
    }
    if (searchingForCopy) {
        // The log holds no copy; read the kept records from the first one on.
        searchingForCopy = false;
        copySearchDone = true;
        readOffset = firstKept;
        startRead();
        return;
    }
    caughtUp = true;
}

bool follower::data::isSkippedByCopySearch(const platform::log_record& entry, const platform::log_batch&)
{
    if (!searchingForCopy)
        return false;
    const auto value = decodeRecord(entry.body);
    if (!value || !value->acceptedVersion)
        return true;
    searchingForCopy = false;
    copySearchDone = true;
    return false;
}

/// Restarts reading at the first kept record after the log lost its newest records, because other records may have reused their
/// offsets. The configuration in force is kept.
void follower::data::handleTruncatedTail(platform::log_offset end)
{
    if (currentOffset >= end)
        currentOffset = 0;
    if (fullRecordOffset >= end)
        fullRecordOffset = 0;
    evaluatedUpTo = std::max(evaluatedUpTo, readOffset);
    readOffset = firstKept;
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
    return value->acceptedVersion ? processCopy(*value, entry.offset) : processPublishedRecord(*value, entry.offset);
}

void follower::data::setLogOffsets(const record& value, platform::log_offset offset)
{
    currentOffset = offset;
    if (value.changes)
        return;
    fullRecordOffset = offset;
    fullRecordSeenAt = now;
}

bool follower::data::processCopy(const record& value, platform::log_offset offset)
{
    if (*value.acceptedVersion > offset + maxVersionLead) {
        reject(makeHistoryEntry(value, offset),
            fmt::format("version {} of the copy exceeds its log offset {} by more than {}", *value.acceptedVersion, offset,
                maxVersionLead));
        return true;
    }
    auto next = applyRecord(value, *current);
    if (!next) {
        reject(makeHistoryEntry(value, offset), next.error().detail);
        return true;
    }
    next->version = *value.acceptedVersion;
    if (next->version == current->version && next->recordId == current->recordId)
        setLogOffsets(value, offset);
    else if (isNewer(*next, *current)) {
        adopt(std::move(*next), offset);
        setLogOffsets(value, offset);
    }
    return true;
}

bool follower::data::processPublishedRecord(const record& value, platform::log_offset offset)
{
    if (value.recordId == current->recordId) {
        setLogOffsets(value, offset);
        return true;
    }
    if (const history_entry* known = findInHistory(value.recordId); known && known->version > 0)
        return true;
    if (value.basedOn > current->version)
        return waitForBase(value, offset);
    if (value.basedOn < current->version) {
        rejectStale(value, offset);
        return true;
    }
    auto next = applyRecord(value, *current);
    if (!next) {
        reject(makeHistoryEntry(value, offset), next.error().detail);
        return true;
    }
    // The version equals the offset, unless the log's tail was truncated and its offsets are reused.
    next->version = std::max(current->version + 1, offset);
    adopt(std::move(*next), offset);
    setLogOffsets(value, offset);
    return true;
}

/// Rejects a record whose base version is no longer in force, and names the accepted record with the same base. A record whose
/// winner is not in the history, as after a fetch from a peer, is skipped without a report.
void follower::data::rejectStale(const record& value, platform::log_offset offset)
{
    const history_entry* winner = acceptedOnBase(value.basedOn);
    if (!winner)
        return;
    reject(makeHistoryEntry(value, offset),
        fmt::format("the record is based on version {}, but version {} by {} with the same base precedes it in the log",
            value.basedOn, winner->version, winner->author));
}

/// Holds back a record until its base version has been learned from a peer, and rejects the record after
/// `missingBaseTimeout`. The log is read again once, because the base may be in a part that was replaced after a truncated tail.
/// Returns whether reading continues behind the record.
bool follower::data::waitForBase(const record& value, platform::log_offset offset)
{
    if (!waitingForBaseSince) {
        waitingForBaseSince = now;
        rereadDue = true;
    }
    if (std::exchange(rereadDue, false) && firstKept < offset) {
        evaluatedUpTo = std::max(evaluatedUpTo, offset);
        readOffset = firstKept;
        startRead();
        return false;
    }
    if (now - *waitingForBaseSince < options.missingBaseTimeout)
        return false;
    waitingForBaseSince.reset();
    reject(makeHistoryEntry(value, offset),
        fmt::format("the record is based on version {}, which neither the log nor a reachable VM holds", value.basedOn));
    return true;
}

void follower::data::adopt(snapshot next, platform::log_offset offset)
{
    if (!isNewer(next, *current))
        return;
    history_entry entry = makeHistoryEntry(next, offset);
    entry.changes = describeChanges(*current, next);
    if (entry.changes.size() > maxChangeDescriptions) {
        const std::size_t omitted = entry.changes.size() - maxChangeDescriptions;
        entry.changes.resize(maxChangeDescriptions);
        entry.changes.push_back(fmt::format("and {} more changes", omitted));
    }
    currentOffset = 0;
    waitingForBaseSince.reset();
    behindSince.reset();
    current = std::make_shared<const snapshot>(std::move(next));
    if (const history_entry* known = findInHistory(entry.recordId); !known || known->version == 0)
        addToHistory(entry);
    pendingActions.emplace_back(snapshot_adopted { current, entry });
    completeAsAccepted(entry);
}

void follower::data::completeAsAccepted(const history_entry& entry)
{
    publish_result outcome;
    outcome.recordId = entry.recordId;
    outcome.version = entry.version;
    outcome.changes = entry.changes;
    completePublication(entry.recordId, outcome);
}

/// Adds a peer's entries for accepted records newer than the configuration in force. The fetched version lets this VM skip
/// those records in the log, and publications of them complete here.
void follower::data::mergeHistory(const std::vector<history_entry>& entries)
{
    for (const auto& entry : entries) {
        const history_entry* known = findInHistory(entry.recordId);
        if (entry.version <= current->version || (known && known->version > 0))
            continue;
        addToHistory(entry);
        completeAsAccepted(entry);
    }
}

void follower::data::reject(history_entry entry, std::string problem)
{
    const bool known = std::any_of(history.begin(), history.end(), [&entry](const history_entry& old) {
        return old.recordId == entry.recordId && (old.version > 0 || old.offset == entry.offset);
    });
    const bool old = entry.offset < evaluatedUpTo && !publications.contains(entry.recordId);
    if (known || old)
        return;
    entry.problem = std::move(problem);
    addToHistory(entry);
    if (const auto own = publications.find(entry.recordId); own != publications.end()) {
        publish_result outcome = makeConflictResult(own->second.candidate);
        if (own->second.candidate.basedOn == current->version)
            outcome.problem = error { error_kind::configuration_invalid, entry.problem, std::nullopt };
        completePublication(entry.recordId, outcome);
    }
    pendingActions.emplace_back(record_rejected { std::move(entry) });
}

void follower::data::addToHistory(history_entry entry)
{
    history.push_back(std::move(entry));
    if (history.size() > maxHistoryEntries)
        history.pop_front();
}

const history_entry* follower::data::findInHistory(const std::string& recordId) const
{
    const auto found = std::find_if(
        history.rbegin(), history.rend(), [&recordId](const history_entry& entry) { return entry.recordId == recordId; });
    return found == history.rend() ? nullptr : &*found;
}

/// Returns the accepted record that is based on a version, after which no other record with that base is accepted.
const history_entry* follower::data::acceptedOnBase(std::uint64_t basedOn) const
{
    const auto found = std::find_if(history.begin(), history.end(),
        [basedOn](const history_entry& entry) { return entry.version > 0 && entry.basedOn == basedOn; });
    return found == history.end() ? nullptr : &*found;
}

/// Returns whether the appended record was read back before the answer to its append arrived.
bool follower::data::wasReadBack(const std::string& recordId, platform::log_offset offset) const
{
    const history_entry* known = findInHistory(recordId);
    return (known && known->offset == offset) || (recordId == current->recordId && currentOffset >= offset);
}

bool follower::data::isBehind(const peer_revision_received& peer) const
{
    if (peer.version == 0)
        return false;
    return peer.version > current->version || (peer.version == current->version && peer.digest != digest());
}

void follower::data::handle(const peer_revision_received& event)
{
    if (event.version == 0 && event.digest == noConfigurationDigest)
        peerHasNoConfiguration = true;
    if (!isBehind(event) || fetching || now < nextFetchAt)
        return;
    if (!behindSince)
        behindSince = now;
    // Records of the log hold only the changes, so a reachable log is preferred to a fetch of all lists from a peer.
    if (logReachable && caughtUp && now - *behindSince < options.fetchDelay) {
        startRead();
        return;
    }
    fetching = true;
    nextFetchAt = now + minFetchInterval;
    pendingActions.emplace_back(fetch_from_peer { event.peerAddress });
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
                completeAsAccepted(entry);
        }
        readOffset = std::max(readOffset, event.state->nextOffset);
        searchingForCopy = false;
        copySearchDone = true;
    }
    mergeHistory(event.state->history);
    adopt(event.state->current, event.state->currentOffset);
    currentOffset = event.state->currentOffset;
    if (fullRecordOffset == 0) {
        fullRecordOffset = event.state->fullRecordOffset;
        fullRecordSeenAt = now;
    }
}

void follower::data::appendCopyIfDue(unsigned copyRank)
{
    const bool missing = currentOffset == 0 || fullRecordOffset == 0;
    const bool due = current->version > 0 && logReachable && caughtUp && (missing || now - fullRecordSeenAt >= options.copyAfter);
    if (!due) {
        copyDueSince.reset();
        return;
    }
    if (!copyDueSince)
        copyDueSince = now;
    if (now - *copyDueSince < options.copyRankDelay * copyRank || now < nextCopyAt)
        return;
    nextCopyAt = now + minCopyInterval;
    pendingActions.emplace_back(append_record { current->recordId, encodeRecord(makeCopy(*current)) });
}

publish_result follower::data::makeConflictResult(const snapshot& candidate) const
{
    publish_result outcome;
    outcome.recordId = candidate.recordId;
    outcome.version = current->version;
    outcome.winner = makeHistoryEntry(*current, currentOffset);
    outcome.problem = error { error_kind::publish_conflict,
        fmt::format("the configuration is based on version {}, but version {} by {} is in force: {}", candidate.basedOn,
            current->version, current->author, current->reason),
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
    const auto complete = [this, &event](publish_result outcome) {
        outcome.recordId = event.candidate.recordId;
        pendingActions.emplace_back(publish_completed { event.publication, std::move(outcome) });
    };
    if (const auto open = publications.find(candidate.recordId); open != publications.end()) {
        open->second.requests.push_back(event.publication);
        open->second.mayBeInLog = open->second.mayBeInLog || event.mayBeInLog;
        return;
    }
    const history_entry* known = findInHistory(candidate.recordId);
    if (known && known->version > 0) {
        complete({ std::nullopt, {}, known->version, known->changes, std::nullopt });
        return;
    }
    // Neither a missing nor another base version proves that a record that may be in the log was not accepted. Another accepted
    // record with the same base does.
    const bool wrongBase = !hasSynced() || candidate.basedOn != current->version;
    if (wrongBase && event.mayBeInLog && !acceptedOnBase(candidate.basedOn)) {
        complete({ unknownOutcome(candidate.recordId), {}, 0, {}, std::nullopt });
        return;
    }
    if (!hasSynced()) {
        complete(
            { error { error_kind::configuration_missing, "this VM has not learned the current configuration yet", std::nullopt },
                {}, 0, {}, std::nullopt });
        return;
    }
    if (candidate.basedOn != current->version) {
        complete(makeConflictResult(candidate));
        return;
    }
    if (const auto problems = findRuleViolations(candidate); !problems.empty()) {
        complete({ error { error_kind::configuration_invalid, joinProblems(problems), std::nullopt }, {}, 0, {}, std::nullopt });
        return;
    }
    publications[candidate.recordId] = { { event.publication }, candidate, now, false, event.mayBeInLog };
    pendingActions.emplace_back(append_record { candidate.recordId, encodeRecord(makeRecord(candidate, *current)) });
}

void follower::data::handle(const append_completed& event)
{
    if (event.offset && *event.offset < readOffset && !wasReadBack(event.recordId, *event.offset)) {
        // Another record had this offset before, so the tail of the log was truncated.
        handleTruncatedTail(*event.offset);
    }
    const auto own = publications.find(event.recordId);
    if (own == publications.end()) {
        startRead();
        return;
    }
    own->second.appendCompleted = true;
    own->second.startedAt = now;
    if (!event.offset && event.offset.error().kind != error_kind::log_answer_lost) {
        publish_result outcome;
        outcome.problem = own->second.mayBeInLog ? unknownOutcome(event.recordId) : event.offset.error();
        completePublication(event.recordId, outcome);
        return;
    }
    startRead();
}

void follower::data::completePublication(const std::string& recordId, const publish_result& outcome)
{
    auto node = publications.extract(recordId);
    if (!node)
        return;
    for (const publication_id request : node.mapped().requests) {
        publish_result own = outcome;
        own.recordId = recordId;
        pendingActions.emplace_back(publish_completed { request, std::move(own) });
    }
}

void follower::data::expirePublications()
{
    std::vector<std::string> expired;
    for (const auto& [recordId, open] : publications) {
        if (open.appendCompleted && now - open.startedAt >= options.publishTimeout)
            expired.push_back(recordId);
        else if (open.appendCompleted)
            startRead();
    }
    for (const auto& recordId : expired) {
        publish_result outcome;
        outcome.problem = unknownOutcome(recordId);
        completePublication(recordId, outcome);
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
    actions.swap(m_data->pendingActions);
    return actions;
}

const std::shared_ptr<const snapshot>& follower::current() const { return m_data->current; }

bool follower::hasSynced() const { return m_data->hasSynced(); }

std::uint32_t follower::digest() const { return m_data->digest(); }

peer_state follower::stateForPeer() const
{
    return { *m_data->current, m_data->readOffset, m_data->fullRecordOffset, m_data->currentOffset,
        { m_data->history.begin(), m_data->history.end() } };
}

const std::deque<history_entry>& follower::history() const { return m_data->history; }

std::optional<history_entry> follower::outcomeOf(const std::string& recordId) const
{
    const history_entry* found = m_data->findInHistory(recordId);
    return found ? std::optional<history_entry>(*found) : std::nullopt;
}

} // namespace coriandermount::configuration
