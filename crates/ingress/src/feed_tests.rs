use crate::SourceSelector;
use core::{net::Ipv4Addr, time::Duration};
use googletest::prelude::*;
use poplarswitch_entity::Time;

const FRESH: Option<Duration> = Some(Duration::from_millis(500));
const OLD: Option<Duration> = Some(Duration::from_secs(4));

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, last)
}

fn order() -> Vec<Ipv4Addr> {
    (1..=4).map(ip).collect()
}

#[gtest]
fn in_calm_one_vm_of_a_data_centre_reads_the_platform() {
    let sources = SourceSelector::new(Time::ZERO);
    let readers = order()
        .into_iter()
        .filter(|me| sources.should_read(Time::ZERO, *me, &order(), FRESH));
    expect_that!(readers.collect::<Vec<_>>(), eq(&vec![ip(1)]));
    expect_that!(
        sources.upstream_peer(Time::ZERO, ip(3), &order(), &[], FRESH),
        some(eq(ip(1)))
    );
    expect_that!(
        sources.upstream_peer(Time::ZERO, ip(1), &order(), &[], FRESH),
        none()
    );
}

/// The platform turned the first VM of a data centre away. Its neighbours went on asking it, and
/// sent work to an endpoint that had begun to drain 2.1 s before.
#[gtest]
fn the_next_vm_reads_at_once_when_the_first_is_turned_away() {
    let mut sources = SourceSelector::new(Time::ZERO);
    sources.mark_failed(Time::ZERO, ip(1));
    expect_that!(
        sources.should_read(Time::ZERO, ip(2), &order(), FRESH),
        eq(true)
    );
    expect_that!(
        sources.should_read(Time::ZERO, ip(3), &order(), FRESH),
        eq(false)
    );
    expect_that!(
        sources.upstream_peer(Time::ZERO, ip(3), &order(), &[], FRESH),
        some(eq(ip(2)))
    );
}

/// All VMs lost power. Each waited 0.35 s for the others' beats before it read anything, and was
/// ready half a second after its start; a quarter of the calls of two seconds were late for it.
#[gtest]
fn the_first_vms_of_a_list_read_as_soon_as_they_start() {
    let mut sources = SourceSelector::new(Time::ZERO);
    let start = Time::from_millis(15);
    let readers = |sources: &SourceSelector| {
        let reads = |me: &Ipv4Addr| sources.should_read(start, *me, &order(), None);
        order().into_iter().filter(reads).collect::<Vec<_>>()
    };
    expect_that!(readers(&sources), is_empty());
    sources.mark_listed();
    expect_that!(readers(&sources), eq(&vec![ip(1), ip(2)]));
    expect_that!(
        sources.upstream_peer(start, ip(4), &order(), &[], None),
        some(eq(ip(1)))
    );
    sources.mark_failed(start, ip(1));
    expect_that!(
        sources.upstream_peer(start, ip(4), &order(), &[], None),
        some(eq(ip(2)))
    );
}

/// All of 300 VMs lost power. A hundred asked the first of their data centre for the list of 3,000
/// endpoints at once, which takes its link 24 s.
#[gtest]
fn no_vm_feeds_a_whole_data_centre() {
    let sources = SourceSelector::new(Time::ZERO);
    let order: Vec<Ipv4Addr> = (1..=100).map(ip).collect();
    let peer = |me: &Ipv4Addr| sources.upstream_peer(Time::ZERO, *me, &order, &[], FRESH);
    for feeder in &order {
        let fed = order.iter().filter(|me| peer(me) == Some(*feeder));
        assert_that!(fed.count(), le(8), "{feeder}");
    }
    for me in &order[1..] {
        let (mut at, mut steps) = (*me, 0);
        while let Some(above) = peer(&at) {
            (at, steps) = (above, steps + 1);
        }
        assert_that!((at, steps), (eq(order[0]), le(3)), "{me}");
    }
}

#[gtest]
fn a_vm_whose_feeder_fails_asks_the_one_above() {
    let mut sources = SourceSelector::new(Time::ZERO);
    let order: Vec<Ipv4Addr> = (1..=30).map(ip).collect();
    let peer =
        |sources: &SourceSelector| sources.upstream_peer(Time::ZERO, ip(20), &order, &[], FRESH);
    expect_that!(peer(&sources), some(eq(ip(3))));
    sources.mark_failed(Time::ZERO, ip(3));
    expect_that!(peer(&sources), some(eq(ip(1))));
    sources.mark_failed(Time::ZERO, ip(1));
    expect_that!(peer(&sources), some(eq(ip(2))));
}

#[gtest]
fn a_vm_that_failed_is_asked_again_later() {
    let mut sources = SourceSelector::new(Time::ZERO);
    sources.mark_failed(Time::ZERO, ip(1));
    let later = Time::from_millis(2_000);
    expect_that!(
        sources.upstream_peer(later, ip(3), &order(), &[], FRESH),
        some(eq(ip(1)))
    );
}

#[gtest]
fn with_an_old_view_a_vm_reads_itself_and_asks_beyond_its_data_centre() {
    let mut sources = SourceSelector::new(Time::ZERO);
    for other in 1..=4 {
        sources.mark_failed(Time::ZERO, ip(other));
    }
    expect_that!(
        sources.should_read(Time::ZERO, ip(4), &order(), OLD),
        eq(true)
    );
    let asked = sources.upstream_peer(Time::ZERO, ip(4), &order(), &[ip(9)], OLD);
    expect_that!(asked, some(eq(ip(9))));
}

/// All VMs of a large fleet start at once: they must not all read the platform.
#[gtest]
fn a_vm_that_starts_awaits_its_neighbours_first() {
    let sources = SourceSelector::new(Time::ZERO);
    let reads = |millis, me| sources.should_read(Time::from_millis(millis), me, &order(), None);
    expect_that!(reads(100, ip(1)), eq(false));
    expect_that!(reads(700, ip(1)), eq(true));
    expect_that!(reads(700, ip(3)), eq(false));
    expect_that!(reads(4_000, ip(3)), eq(true));
}

/// Pattern: the platform is away for all. 66 VMs that each tried twice a second made most of the
/// calls of their day.
#[gtest]
fn an_outage_for_all_is_watched_by_few() {
    let order: Vec<Ipv4Addr> = (1..=17).map(ip).collect();
    let rate = |me: &Ipv4Addr| 1.0 / SourceSelector::max_backoff(*me, &order).as_secs_f64();
    expect_that!(rate(&ip(1)), gt(1.4));
    expect_that!(order.iter().map(rate).sum::<f64>(), lt(6.0));
}
