use crate::{
    EndpointEntry, EndpointTable, SoftwareVersion, StreamId, StreamOrigin, StreamOrigins,
    asked_vms, copy_holders, endpoints_tests::entry,
};
use core::{net::Ipv4Addr, time::Duration};
use googletest::prelude::*;
use poplarswitch_entity::{ServiceName, Time};

const START: Time = Time::from_millis(1_000_000);
const UNIX_MS: u64 = 1_800_000_000_000;

fn origin(software: &str) -> StreamOrigin {
    StreamOrigin {
        service: ServiceName::new("chat"),
        software: SoftwareVersion::new(software),
    }
}

fn vms(count: u8) -> Vec<Ipv4Addr> {
    (1..=count).map(|n| Ipv4Addr::new(10, 0, 0, n)).collect()
}

fn table(endpoints: &[(&str, Option<&str>, u64)]) -> EndpointTable {
    let mut table = EndpointTable::default();
    for (revision, (name, software, start_ms)) in endpoints.iter().enumerate() {
        table.upsert(EndpointEntry {
            service: ServiceName::new("chat"),
            software: software.map(SoftwareVersion::new),
            start_ms: *start_ms,
            ..entry(name, revision as u64 + 1)
        });
    }
    table
}

/// The only version of the service `chat` after `noted` tables were seen, one each second.
fn only_version(noted: &[&EndpointTable], uptime: Duration) -> Option<SoftwareVersion> {
    only_version_told(noted, uptime, &[])
}

/// The same with the histories of other VMs.
fn only_version_told(
    noted: &[&EndpointTable],
    uptime: Duration,
    told: &[Vec<SoftwareVersion>],
) -> Option<SoftwareVersion> {
    let mut origins = StreamOrigins::default();
    let mut now = START;
    for table in noted {
        origins.note_versions(now, table);
        now = now + Duration::from_secs(1);
    }
    let started = now - uptime;
    let last = noted.last()?;
    let service = ServiceName::new("chat");
    origins.only_version(now, started, UNIX_MS, &service, last, told)
}

#[gtest]
fn origin_is_kept_for_a_minute_after_its_last_record() {
    let mut origins = StreamOrigins::default();
    let stream = StreamId::new("c1");
    origins.record(START, stream, &origin("v1"));
    let later = START + Duration::from_secs(50);
    expect_that!(origins.get(later, stream), some(eq(&origin("v1"))));
    origins.record(later, stream, &origin("v1"));
    let last = START + Duration::from_secs(100);
    expect_that!(origins.get(last, stream), some(eq(&origin("v1"))));
    expect_that!(origins.get(last, StreamId::new("c2")), none());
    let expired = START + Duration::from_secs(111);
    origins.note_versions(expired, &EndpointTable::default());
    expect_that!(origins.len(), eq(0));
}

/// Memory grew with the number of streams.
#[gtest]
fn number_of_origins_is_limited_and_the_newest_stay() {
    let mut origins = StreamOrigins::default();
    for n in 0..60_000 {
        origins.record(START, StreamId(n), &origin("v1"));
    }
    expect_that!(origins.len(), le(50_000));
    expect_that!(origins.get(START, StreamId(59_999)), some(anything()));
    expect_that!(origins.get(START, StreamId(0)), none());
}

#[gtest]
fn vms_that_keep_an_origin_are_among_those_that_are_asked() {
    for count in [1, 2, 5, 11, 60] {
        let others = vms(count);
        for n in 0..50 {
            let stream = StreamId(n);
            let asked = asked_vms(stream, &others);
            let holders = copy_holders(stream, &others);
            expect_that!(holders.len(), eq(usize::from(count.min(2))));
            expect_that!(holders.iter().all(|ip| asked.contains(ip)), eq(true));
            // A holder is asked, too, after it has lost its place to a VM that has joined.
            let mut joined = others.clone();
            joined.push(Ipv4Addr::new(10, 0, 1, 1));
            let asked = asked_vms(stream, &joined);
            expect_that!(holders.iter().all(|ip| asked.contains(ip)), eq(true));
        }
    }
}

/// Streams of which nobody knew the attempt went on at any version.
#[gtest]
fn only_version_needs_a_history_without_another_one() {
    let old = UNIX_MS - 60_000;
    let one = table(&[("e1", Some("v1"), old), ("e2", Some("v1"), old)]);
    let two = table(&[("e1", Some("v1"), old), ("e2", Some("v2"), old)]);
    let unknown = table(&[("e1", Some("v1"), old), ("e2", Some(""), old)]);
    let untold = table(&[("e1", Some("v1"), old), ("e2", None, old)]);
    let recent = table(&[("e1", Some("v1"), old), ("e2", Some("v1"), UNIX_MS - 5_000)]);
    let (short, long) = (Duration::from_secs(2), Duration::from_mins(5));
    let v1 = Some(SoftwareVersion::new("v1"));
    expect_that!(only_version(&[&one], short), eq(&v1));
    expect_that!(only_version(&[&one], long), eq(&v1));
    expect_that!(only_version(&[&two], long), none());
    expect_that!(only_version(&[&unknown], long), none());
    expect_that!(only_version(&[&untold], long), none());
    // A release may have ended before this VM started.
    expect_that!(only_version(&[&recent], short), none());
    expect_that!(only_version(&[&recent], long), eq(&v1));
    // Other VMs have seen what was before.
    let told = |versions: &[&str]| {
        let versions = versions.iter().map(|version| SoftwareVersion::new(version));
        vec![versions.collect::<Vec<_>>()]
    };
    let told_version = |versions: &[&str]| only_version_told(&[&recent], short, &told(versions));
    expect_that!(told_version(&["v1"]), eq(&v1));
    expect_that!(told_version(&["v1", "v0"]), none());
    expect_that!(told_version(&["v1", ""]), none());
    // A version that has just gone may have begun the stream.
    expect_that!(only_version(&[&two, &one], long), none());
}
