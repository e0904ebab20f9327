use crate::{Hub, HubSettings, PeerEvent};
use core::{net::SocketAddr, time::Duration};
use crossbeam::channel::{Receiver, unbounded};
use googletest::prelude::*;
use poplarswitch_entity::Incarnation;
use poplarswitch_members::{Identity, MembersMessage};
use poplarswitch_timeline::Stamp;
use poplarswitch_wire::{Envelope, PeerMessage};
use std::net::TcpListener;

/// Longest wait for an event; only a failing test reaches it.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

struct Peer {
    hub: Hub,
    address: SocketAddr,
    events: Receiver<PeerEvent>,
}

fn peer(incarnation: u64, secret: &str) -> Peer {
    let listener = TcpListener::bind("127.0.0.1:0").expect("opens");
    let address = listener.local_addr().expect("an address");
    let identity = Identity::builder()
        .vm(format!("vm-{incarnation}").as_str())
        .incarnation(Incarnation(incarnation))
        .started(0)
        .data_centre("bole")
        .cell("abay")
        .address(address)
        .caller_address(address)
        .build();
    let settings = HubSettings::builder()
        .identity(identity)
        .secret(secret.to_owned())
        .build();
    let (sender, events) = unbounded();
    let hub = Hub::start(listener, settings, move |event| drop(sender.send(event)));
    Peer {
        hub: hub.expect("starts"),
        address,
        events,
    }
}

fn envelope(number: u64) -> Envelope {
    Envelope {
        at: Stamp::START,
        message: PeerMessage::Members(MembersMessage::IdentityRequest(vec![Incarnation(number)])),
    }
}

#[gtest]
fn link_carries_messages_in_both_directions_in_order() {
    let (a, b) = (peer(1, "s"), peer(2, "s"));
    a.hub.dial(b.address);
    for (peer, other) in [(&a, 2), (&b, 1)] {
        let event = peer.events.recv_timeout(EVENT_TIMEOUT).expect("an event");
        expect_that!(
            matches!(event, PeerEvent::Linked(who) if who.incarnation.0 == other),
            eq(true)
        );
    }
    for number in 0..50 {
        expect_that!(a.hub.send(Incarnation(2), &envelope(number)), eq(true));
    }
    expect_that!(b.hub.send(Incarnation(1), &envelope(7)), eq(true));
    for number in 0..50 {
        let expected = PeerEvent::Message {
            from: Incarnation(1),
            envelope: envelope(number),
        };
        expect_that!(b.events.recv_timeout(EVENT_TIMEOUT), ok(eq(&expected)));
    }
    expect_that!(a.events.recv_timeout(EVENT_TIMEOUT), ok(anything()));
}

#[gtest]
fn link_with_a_different_secret_is_refused() {
    let (a, b) = (peer(1, "s"), peer(2, "other"));
    a.hub.dial(b.address);
    let event = a.events.recv_timeout(EVENT_TIMEOUT);
    expect_that!(event, ok(eq(&PeerEvent::DialFailed(b.address))));
    expect_that!(b.events.try_recv(), err(anything()));
}

#[gtest]
fn link_to_own_process_is_refused() {
    let a = peer(1, "s");
    a.hub.dial(a.address);
    let event = a.events.recv_timeout(EVENT_TIMEOUT);
    expect_that!(event, ok(eq(&PeerEvent::DialFailed(a.address))));
}

#[gtest]
fn stopped_peer_is_reported_as_unlinked() {
    let (a, mut b) = (peer(1, "s"), peer(2, "s"));
    a.hub.dial(b.address);
    expect_that!(a.events.recv_timeout(EVENT_TIMEOUT), ok(anything()));
    b.hub.stop();
    let event = a.events.recv_timeout(EVENT_TIMEOUT);
    expect_that!(event, ok(eq(&PeerEvent::Unlinked(Incarnation(2)))));
    expect_that!(a.hub.send(Incarnation(2), &envelope(1)), eq(false));
}
