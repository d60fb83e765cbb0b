#include "tests/fakes/virtual_fleet.h"

#include "fleet/gossip_codec.h"

namespace coriandermount::fakes {

namespace {

    constexpr std::chrono::milliseconds tickInterval { 50 };
    constexpr std::chrono::milliseconds listInterval { 500 };
    constexpr std::chrono::milliseconds latency { 1 };
    constexpr std::chrono::hours wallStart { 480000 };
    /// Estimated size of the HTTP and JSON-RPC framing of a request and its reply.
    constexpr std::uint64_t framingBytes = 400;

} // namespace

struct virtual_fleet::vm {
    std::string id;
    std::string domain;
    std::string address;
    std::unique_ptr<fleet::membership> protocol;
    bool alive = true;
    bool paused = false;
    bool markedLeaving = false;
    std::vector<fleet::membership_event> pendingEvents;
    std::map<fleet::request_id, std::function<void(const fleet::gossip_message&)>> requests;
    std::set<std::string> leavingWorkers;
    std::chrono::milliseconds nextListReadAt { 0 };
    std::uint64_t bytes = 0;
    std::uint64_t calls = 0;
};

virtual_fleet::virtual_fleet(std::uint64_t seed)
    : m_random(seed)
{
}

time_point virtual_fleet::now() const { return time_point(m_time); }

wall_time virtual_fleet::wallNow() const { return wall_time(wallStart + m_time); }

void virtual_fleet::schedule(std::chrono::milliseconds delay, std::function<void()> action)
{
    m_queue.push({ m_time + delay, m_order++, std::move(action) });
}

void virtual_fleet::start(const std::string& id, const std::string& domain, const std::vector<std::string>& seeds)
{
    kill(id);
    auto self = std::make_shared<vm>();
    self->id = id;
    self->domain = domain;
    self->address = "10.0.0.1:" + std::to_string(m_nextPort++);
    fleet::membership_options options;
    options.id.value = id;
    options.domain.value = domain;
    options.peerAddress = self->address;
    options.startedAt = wallNow();
    options.randomSeed = m_random();
    for (const auto& seed : seeds)
        options.seeds.push_back(m_vms.at(seed)->address);
    self->protocol = std::make_unique<fleet::membership>(options, now());
    m_vms[id] = self;
    schedule(std::chrono::milliseconds(m_random() % 50), [this, self] { tick(self); });
}

virtual_fleet::~virtual_fleet()
{
    for (const auto& [id, self] : m_vms)
        kill(id);
}

void virtual_fleet::kill(const std::string& id)
{
    const auto found = m_vms.find(id);
    if (found == m_vms.end())
        return;
    found->second->alive = false;
    // The unanswered requests of a VM hold references to it.
    found->second->requests.clear();
}

void virtual_fleet::pause(const std::string& id) { m_vms.at(id)->paused = true; }

void virtual_fleet::resume(const std::string& id)
{
    const auto self = m_vms.at(id);
    self->paused = false;
    std::vector<fleet::membership_event> pendingEvents;
    pendingEvents.swap(self->pendingEvents);
    for (const auto& event : pendingEvents)
        handle(self, event);
}

void virtual_fleet::blockLink(const std::string& from, const std::string& to) { m_blockedLinks.emplace(from, to); }

void virtual_fleet::heal() { m_blockedLinks.clear(); }

void virtual_fleet::setListing(std::vector<entry_vm_info> listing) { m_listing = std::move(listing); }

std::vector<entry_vm_info> virtual_fleet::runningVmListing() const
{
    std::vector<entry_vm_info> listing;
    for (const auto& [id, self] : m_vms) {
        if (self->alive)
            listing.push_back({ { id }, { self->domain }, "rack", self->address, vm_state::live });
    }
    return listing;
}

void virtual_fleet::injectEvent(const std::string& id, const fleet::membership_event& event) { handle(m_vms.at(id), event); }

void virtual_fleet::tick(const std::shared_ptr<vm>& self)
{
    if (!self->alive)
        return;
    if (!self->paused) {
        if (m_time >= self->nextListReadAt && !m_listingDown) {
            self->nextListReadAt = m_time + listInterval;
            handle(self, fleet::listing_read { m_listing });
        }
        handle(self, fleet::ticked {});
    }
    schedule(tickInterval, [this, self] { tick(self); });
}

void virtual_fleet::handle(const std::shared_ptr<vm>& self, const fleet::membership_event& event)
{
    if (!self->alive)
        return;
    if (self->paused) {
        self->pendingEvents.push_back(event);
        return;
    }
    for (auto& action : self->protocol->handle(event, now(), wallNow())) {
        if (const auto* call = std::get_if<fleet::send_call>(&action)) {
            sendCall(self, *call);
        } else if (const auto* reply = std::get_if<fleet::send_reply>(&action)) {
            auto node = self->requests.extract(reply->request);
            if (node)
                node.mapped()(reply->message);
        } else if (std::holds_alternative<fleet::marked_leaving>(action)) {
            self->markedLeaving = true;
        } else if (const auto* received = std::get_if<fleet::leaving_workers_received>(&action)) {
            for (const auto& worker : received->workers)
                self->leavingWorkers.insert(worker.id.value);
        }
    }
}

std::shared_ptr<virtual_fleet::vm> virtual_fleet::vmAt(const std::string& address) const
{
    for (const auto& [id, self] : m_vms) {
        if (self->address == address && self->alive)
            return self;
    }
    return nullptr;
}

std::uint64_t virtual_fleet::sizeOf(const fleet::gossip_message& message) const
{
    return m_countBytes ? fleet::encodeGossip(message).size() : 0;
}

bool virtual_fleet::delivers(const vm& from, const vm& to)
{
    return !m_blockedLinks.contains({ from.id, to.id }) && m_random() % 100 >= m_lossPercent;
}

void virtual_fleet::sendCall(const std::shared_ptr<vm>& from, const fleet::send_call& call)
{
    auto answered = std::make_shared<bool>(false);
    const auto end = [this, from, answered, id = call.call](const fleet::gossip_message* reply) {
        if (std::exchange(*answered, true))
            return;
        fleet::call_ended ended;
        ended.call = id;
        if (reply)
            ended.reply = *reply;
        handle(from, ended);
    };
    const std::uint64_t requestBytes = sizeOf(call.message);
    from->bytes += requestBytes + framingBytes;
    ++from->calls;
    schedule(call.timeout, [end] { end(nullptr); });
    const auto to = vmAt(call.address);
    if (!to || !delivers(*from, *to))
        return;
    schedule(latency, [this, from, to, end, requestBytes, message = call.message] {
        if (!to->alive)
            return;
        to->bytes += requestBytes + framingBytes;
        const fleet::request_id request { m_nextRequest++ };
        to->requests[request] = [this, from, to, end](const fleet::gossip_message& reply) {
            const std::uint64_t replyBytes = sizeOf(reply);
            to->bytes += replyBytes;
            if (!delivers(*to, *from))
                return;
            schedule(latency, [from, end, replyBytes, reply] {
                from->bytes += replyBytes;
                end(&reply);
            });
        };
        handle(to, fleet::request_received { request, message });
    });
}

void virtual_fleet::run(std::chrono::milliseconds duration)
{
    const auto end = m_time + duration;
    while (!m_queue.empty() && m_queue.top().at <= end) {
        const scheduled next = m_queue.top();
        m_queue.pop();
        m_time = next.at;
        next.action();
    }
    m_time = end;
}

fleet_view virtual_fleet::viewOf(const std::string& id) const { return m_vms.at(id)->protocol->view(now()); }

member_state virtual_fleet::stateInView(const std::string& id, const std::string& subject) const
{
    for (const auto& member : viewOf(id).members) {
        if (member.id.value == subject)
            return member.state;
    }
    return member_state::dead;
}

bool virtual_fleet::joined(const std::string& id) const { return m_vms.at(id)->protocol->joined(); }

bool virtual_fleet::markedLeaving(const std::string& id) const { return m_vms.at(id)->markedLeaving; }

std::vector<std::string> virtual_fleet::runningVms() const
{
    std::vector<std::string> ids;
    for (const auto& [id, self] : m_vms) {
        if (self->alive)
            ids.push_back(id);
    }
    return ids;
}

std::uint64_t virtual_fleet::bytesOf(const std::string& id) const { return m_vms.at(id)->bytes; }

std::uint64_t virtual_fleet::callsOf(const std::string& id) const { return m_vms.at(id)->calls; }

std::set<std::string> virtual_fleet::leavingWorkersReceived(const std::string& id) const { return m_vms.at(id)->leavingWorkers; }

} // namespace coriandermount::fakes
