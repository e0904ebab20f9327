//! Answers to address queries: which VMs a caller should use.

use core::{net::SocketAddr, time::Duration};
use poplarswitch_entity::{DataCentre, Incarnation};
use poplarswitch_keys::Token;
use poplarswitch_members::{Member, State};
use serde::{Deserialize, Serialize};

/// Time for which a caller may cache an answer.
const ANSWER_TTL: Duration = Duration::from_secs(5);
/// Maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 8;
/// Weight of an idle VM in the caller's data centre.
const FULL_WEIGHT: u32 = 1_000;
/// Divisor of the weight of a VM that is busy or in another data centre.
const UNPREFERRED_DIVISOR: u32 = 10;
/// Load, in thousandths, from which a VM in the same data centre is no longer preferred.
const BUSY_LOAD_PERMILLE: u16 = 800;

/// An address query of a caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Query {
    /// Data centre of the caller, if known.
    pub data_centre: Option<DataCentre>,
    /// Minutes since the Unix epoch by this VM's clock; the issue time of the key tokens.
    pub minute: u64,
}

/// The address of one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// Address to connect to.
    pub address: SocketAddr,
    /// Share of the caller's calls, relative to the weights of the other addresses.
    pub weight: u32,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Start of idempotency keys whose home is this VM.
    pub key_token: String,
}

/// Answer to an address query.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Addresses, by descending weight.
    pub addresses: Vec<Candidate>,
    /// Time for which the answer may be cached, in milliseconds.
    pub ttl_ms: u64,
}

/// Answers a query from the members that this VM knows.
///
/// Only members that are alive are listed, not those that are joining, leaving, suspected or
/// gone. The member `excluded` is not listed either: a leaving VM excludes itself.
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

/// The weight falls with the load; a VM in another data centre or with a high load counts less.
///
/// A busy VM in the caller's data centre weighs no more than an idle one elsewhere.
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
        (weight / UNPREFERRED_DIVISOR).max(1)
    }
}

/// Orders VMs of equal weight differently each minute, so that [`MAX_ADDRESSES`] does not always
/// exclude the same ones.
const fn tie_break(query: &Query, incarnation: Incarnation) -> u64 {
    let mixed = incarnation.0 ^ query.minute.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed.wrapping_mul(0xbf58_476d_1ce4_e5b9).rotate_left(29)
}
