#include "fleet/member_record.h"

namespace coriandermount::fleet {

bool merge(member_record& known, const member_record& received)
{
    if (received.incarnation < known.incarnation)
        return false;
    if (received.incarnation > known.incarnation) {
        known = received;
        return true;
    }
    bool changed = false;
    if (received.leaving && !known.leaving) {
        known.leaving = true;
        changed = true;
    }
    if (received.sequence > known.sequence || (received.sequence == known.sequence && received.health > known.health)) {
        known.sequence = received.sequence;
        known.health = received.health;
        changed = true;
    }
    return changed;
}

member_state stateOf(const member_record& record)
{
    if (record.health == liveness::dead)
        return member_state::dead;
    if (record.leaving)
        return member_state::leaving;
    return record.health == liveness::suspected ? member_state::suspected : member_state::alive;
}

} // namespace coriandermount::fleet
