//! The answer to "which address?".

use core::{net::SocketAddr, time::Duration};
use poplarswitch_entity::{DataCentre, Incarnation};
use poplarswitch_keys::Token;
use poplarswitch_members::{Member, State};
use serde::{Deserialize, Serialize};

/// Time for which a caller may keep an answer.
const ANSWER_TTL: Duration = Duration::from_secs(5);
/// Most addresses in one answer.
const MAX_ADDRESSES: usize = 8;
/// Weight of an idle VM in the caller's data centre.
const FULL_WEIGHT: u32 = 1_000;
/// How much less a VM in another data centre weighs.
const REMOTE_DIVISOR: u32 = 10;
/// Load in thousandths from which a near VM no longer keeps all callers to itself.
const BUSY_LOAD_PERMILLE: u16 = 800;

/// What a caller says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Query {
    /// Where it stands, if it says so.
    pub data_centre: Option<DataCentre>,
    /// Minutes since the Unix epoch on the clock of this VM; dates the key tokens.
    pub minute: u64,
}

/// One address to use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// Where to connect.
    pub address: SocketAddr,
    /// Share of calls beside the other addresses.
    pub weight: u32,
    /// Where the VM stands.
    pub data_centre: DataCentre,
    /// The start of idempotency keys whose home this VM is.
    pub key_token: String,
}

/// Addresses to use, the best first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The addresses.
    pub addresses: Vec<Candidate>,
    /// Milliseconds for which the answer may be kept.
    pub ttl_ms: u64,
}

/// Answers a question from the members that this VM knows.
///
/// Members that leave, are suspected or gone are left out. `except` names a VM that is left
/// out as well: a leaving VM lists the others.
pub fn answer(query: &Query, members: &[Member], excluded: Option<Incarnation>) -> Answer {
    let mut usable: Vec<(u32, &Member)> = members
        .iter()
        .filter(|member| member.state == State::Alive)
        .filter(|member| Some(member.identity.incarnation) != excluded)
        .map(|member| (weight(query, member), member))
        .collect();
    usable.sort_by_key(|(weight, member)| {
        let tie_break = tie_break(query, member.identity.incarnation);
        (core::cmp::Reverse(*weight), tie_break)
    });
    usable.truncate(MAX_ADDRESSES);
    let addresses = usable
        .into_iter()
        .map(|(weight, member)| candidate(query, weight, member))
        .collect();
    Answer {
        addresses,
        ttl_ms: ANSWER_TTL.as_millis() as u64,
    }
}

fn candidate(query: &Query, weight: u32, member: &Member) -> Candidate {
    let token = Token {
        home: member.identity.incarnation,
        minute: query.minute,
    };
    Candidate {
        address: member.identity.caller_address,
        weight,
        data_centre: member.identity.data_centre.clone(),
        key_token: token.to_string(),
    }
}

/// Idle near VMs weigh most; a busy near VM weighs no more than an idle far one.
fn weight(query: &Query, member: &Member) -> u32 {
    let idle = 1_000_u32.saturating_sub(u32::from(member.load.min(950)));
    let weight = FULL_WEIGHT * idle / 1_000;
    let same_data_centre = query
        .data_centre
        .as_ref()
        .is_none_or(|data_centre| *data_centre == member.identity.data_centre);
    if same_data_centre && member.load < BUSY_LOAD_PERMILLE {
        weight.max(1)
    } else {
        (weight / REMOTE_DIVISOR).max(1)
    }
}

/// Orders equal VMs differently from minute to minute, so that no VM is always listed.
const fn tie_break(query: &Query, incarnation: Incarnation) -> u64 {
    let mixed = incarnation.0 ^ query.minute.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed.wrapping_mul(0xbf58_476d_1ce4_e5b9).rotate_left(29)
}
