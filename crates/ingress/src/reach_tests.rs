use crate::{
    endpoints::{EndpointKey, EndpointTable},
    reach::{Reach, Reachability},
};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::{ServiceName, Time};
use slotmap::SlotMap;

const START: Time = Time(1_000_000_000);

fn service() -> ServiceName {
    ServiceName::new("engines")
}

fn keys(count: usize) -> Vec<EndpointKey> {
    let mut map = SlotMap::with_key();
    (0..count).map(|_| map.insert(())).collect()
}

fn fail(reach: &mut Reach, now: Time, failed: &[EndpointKey], available: &[EndpointKey]) -> bool {
    let became_cut = failed
        .iter()
        .map(|key| reach.record_failed(now, &service(), *key, available));
    became_cut.fold(false, |any, cut| any | cut)
}

/// A VM went on trying endpoints of which it reached none.
#[gtest]
fn service_is_cut_off_when_connections_to_all_of_its_endpoints_fail() {
    let available = keys(3);
    let mut reach = Reach::default();
    let state = |reach: &Reach| reach.state(START, &service(), &available);
    expect_that!(
        fail(&mut reach, START, &available[..1], &available),
        eq(false)
    );
    expect_that!(state(&reach), eq(Reachability::Reached));
    expect_that!(
        fail(&mut reach, START, &available[1..2], &available),
        eq(false)
    );
    expect_that!(state(&reach), eq(Reachability::Suspect));
    expect_that!(
        fail(&mut reach, START, &available[2..], &available),
        eq(true)
    );
    expect_that!(state(&reach), eq(Reachability::Cut));
    expect_that!(fail(&mut reach, START, &available, &available), eq(false));
}

/// A service with one endpoint is cut off when that can't be reached.
#[gtest]
fn service_of_one_endpoint_is_cut_off_with_it() {
    let available = keys(1);
    let mut reach = Reach::default();
    expect_that!(fail(&mut reach, START, &available, &available), eq(true));
}

/// A VM that reaches half of the endpoints serves its calls itself.
#[gtest]
fn connection_to_one_endpoint_ends_the_suspicion() {
    let available = keys(4);
    let mut reach = Reach::default();
    fail(&mut reach, START, &available[..3], &available);
    expect_that!(reach.record_connected(START, &service()), none());
    expect_that!(
        reach.state(START, &service(), &available),
        eq(Reachability::Reached)
    );
    expect_that!(reach.untested(&service(), &available).len(), eq(4));
}

/// After a cut, endpoints that could not be reached are to be tried again.
#[gtest]
fn return_names_the_endpoints_that_could_not_be_reached() {
    let available = keys(3);
    let mut reach = Reach::default();
    fail(&mut reach, START, &available, &available);
    let mut lost = reach.record_connected(START, &service()).unwrap();
    lost.sort_unstable();
    expect_that!(lost, eq(&available));
    expect_that!(
        reach.state(START, &service(), &available),
        eq(Reachability::Reached)
    );
}

/// A cut lasts until a connection succeeds, however long no connection is tried.
#[gtest]
fn cut_lasts_longer_than_single_failures() {
    let available = keys(3);
    let later = START + Duration::from_mins(1);
    let mut reach = Reach::default();
    fail(&mut reach, START, &available[..2], &available);
    expect_that!(
        reach.state(later, &service(), &available),
        eq(Reachability::Reached)
    );
    fail(&mut reach, later, &available, &available);
    let latest = later + Duration::from_mins(1);
    expect_that!(
        reach.state(latest, &service(), &available),
        eq(Reachability::Cut)
    );
}

/// An endpoint that joins during a cut may be reachable; it has to be tried.
#[gtest]
fn new_endpoint_of_a_service_that_is_cut_off_is_tried() {
    let available = keys(3);
    let mut reach = Reach::default();
    fail(&mut reach, START, &available[..2], &available[..2]);
    expect_that!(
        reach.state(START, &service(), &available),
        eq(Reachability::Suspect)
    );
    expect_that!(
        reach.untested(&service(), &available),
        elements_are![eq(&available[2])]
    );
}

/// A large service counts as cut off by a sample of its endpoints.
#[gtest]
fn sample_of_the_endpoints_of_a_large_service_is_enough() {
    let available = keys(6_500);
    let mut reach = Reach::default();
    expect_that!(
        fail(&mut reach, START, &available[..15], &available),
        eq(false)
    );
    expect_that!(
        fail(&mut reach, START, &available[15..16], &available),
        eq(true)
    );
}

/// Endpoints without entries are not missing links.
#[gtest]
fn service_without_endpoints_is_not_cut_off() {
    let available = keys(2);
    let mut reach = Reach::default();
    fail(&mut reach, START, &available, &available);
    let table = EndpointTable::default();
    expect_that!(
        reach.state(START, &service(), table.available(&service())),
        eq(Reachability::Reached)
    );
}
