use crate::{
    EndpointEntry, EndpointTable, KeptVersion, NoVersion, Revision, SoftwareVersion, StreamOrigins,
    ToldVersions, VersionView, ViewEnd, VmEntry,
    endpoints_tests::{at, entry},
};
use core::{net::Ipv4Addr, time::Duration};
use googletest::prelude::*;
use poplarswitch_entity::{ServiceName, Time, VmName};

const START: Time = Time::from_millis(1_000_000);
const UNIX_MS: u64 = 1_800_000_000_000;

fn seconds(count: u64) -> Time {
    START + Duration::from_secs(count)
}

fn service() -> ServiceName {
    ServiceName::new("chat")
}

/// What a VM decides on a stream without a record.
type Decision = std::result::Result<SoftwareVersion, NoVersion>;

/// Endpoints of the service `chat` that are all of version v1 and an hour old.
fn table() -> EndpointTable {
    let mut table = EndpointTable::default();
    table.upsert(EndpointEntry {
        service: service(),
        software: Some(SoftwareVersion::new("v1")),
        start_ms: UNIX_MS - 3_600_000,
        ..entry("e1", 1)
    });
    table
}

/// A VM that has seen one version for some minutes, without a gap until `last`.
fn origins(last: Time) -> StreamOrigins {
    let mut origins = StreamOrigins::default();
    origins.record_gap(START, at(10));
    origins.note_versions(last, &table());
    origins
}

fn end(confirmed: Time, number: u64) -> ViewEnd {
    ViewEnd {
        confirmed: Some(confirmed),
        revision: at(number),
    }
}

fn versions(texts: &[&str]) -> Vec<SoftwareVersion> {
    texts
        .iter()
        .map(|text| SoftwareVersion::new(text))
        .collect()
}

fn only_version(origins: &StreamOrigins, now: Time, told: &[ToldVersions]) -> Decision {
    let view = VersionView {
        now,
        asked: now,
        confirmed: Some(now),
        started: START,
        unix_ms: UNIX_MS,
        endpoints: &table(),
        told,
    };
    origins.only_version(&service(), &view)
}

const SHORT: Decision = Err(NoVersion::ShortHistory);
const SEVERAL: Decision = Err(NoVersion::SeveralVersions);

fn v1() -> SoftwareVersion {
    SoftwareVersion::new("v1")
}

fn vm_entry(version: &str, last_ms: Option<u64>) -> VmEntry {
    VmEntry {
        name: VmName::new("front-1"),
        ip: Ipv4Addr::new(10, 0, 0, 1),
        data_centre: "bole".to_owned(),
        start_ms: UNIX_MS - 3_600_000,
        revision: at(1),
        held: Vec::new(),
        versions: vec![KeptVersion {
            service: service(),
            software: SoftwareVersion::new(version),
            last_ms,
        }],
        streams: Vec::new(),
    }
}

/// A version that came and went between two views passed for one that had never been.
#[gtest]
fn gap_is_closed_by_time_and_by_histories_that_reach_over_it() {
    let mut origins = origins(seconds(100));
    expect_that!(only_version(&origins, seconds(100), &[]), eq(&Ok(v1())));
    origins.record_gap(seconds(100), at(20));
    let told = |texts: &[&str], until: Option<Time>| {
        let versions = versions(texts);
        let until = until.map(|until| end(until, 15));
        [ToldVersions { versions, until }]
    };
    let decide = |told: &[ToldVersions]| only_version(&origins, seconds(102), told);
    expect_that!(decide(&[]), eq(&SHORT));
    expect_that!(decide(&told(&["v1"], Some(seconds(99)))), eq(&SHORT));
    expect_that!(decide(&told(&["v1"], None)), eq(&SHORT));
    expect_that!(decide(&told(&["v1"], Some(seconds(100)))), eq(&Ok(v1())));
    expect_that!(decide(&told(&["v1", "v2"], None)), eq(&SEVERAL));
    let up_to_gap = ToldVersions {
        versions: versions(&["v1"]),
        until: Some(end(seconds(99), 20)),
    };
    expect_that!(decide(&[up_to_gap]), eq(&Ok(v1())));
    origins.note_versions(seconds(131), &table());
    expect_that!(only_version(&origins, seconds(131), &[]), eq(&Ok(v1())));
}

/// What VMs that are gone saw in the gap stands in their entries, once they had time to write it.
#[gtest]
fn gap_is_closed_by_entries_that_are_read_after_it() {
    let gap = seconds(100);
    let read_as_of = |sent: Time, revision: Revision, vms: &[VmEntry]| {
        let mut origins = origins(gap);
        origins.record_gap(gap, revision);
        origins.read_entries(seconds(102), sent, UNIX_MS, vms);
        only_version(&origins, seconds(102), &[])
    };
    let read = |sent: Time, vms: &[VmEntry]| read_as_of(sent, at(20), vms);
    expect_that!(read(gap, &[vm_entry("v1", None)]), eq(&SHORT));
    expect_that!(read(seconds(101), &[vm_entry("v1", None)]), eq(&Ok(v1())));
    expect_that!(read(seconds(101), &[]), eq(&Ok(v1())));
    // The platform may have lost the entries as well.
    let later_era = Revision { era: 1, number: 5 };
    expect_that!(read_as_of(seconds(101), later_era, &[]), eq(&SHORT));
    for last_ms in [None, Some(UNIX_MS - 3_000)] {
        let newer = [vm_entry("v1", None), vm_entry("v2", last_ms)];
        expect_that!(read(seconds(101), &newer), eq(&SEVERAL));
    }
    let former = [vm_entry("v0", Some(UNIX_MS - 60_000))];
    expect_that!(read(seconds(101), &former), eq(&Ok(v1())));
}

/// A view of another VM brings its history: what it has seen and since when it can have missed nothing.
#[gtest]
fn views_of_other_vms_extend_the_history_only_if_they_meet_it() {
    let merge = |since: (Time, u64), until: (Time, u64), own_until: (Time, u64)| {
        let mut other = StreamOrigins::default();
        other.record_gap(since.0, at(since.1));
        other.note_versions(until.0, &table());
        let mut origins = origins(seconds(100));
        origins.record_gap(seconds(100), at(20));
        let told = other.sent_history(seconds(103), &table()).unwrap();
        let now = seconds(103);
        let (until, own_until) = (end(until.0, until.1), end(own_until.0, own_until.1));
        origins.merge_history(now, now, &told, &until, &own_until);
        only_version(&origins, now, &[])
    };
    let (early, late) = ((START, 10), (seconds(103), 30));
    let own = (seconds(102), 25);
    expect_that!(merge(early, late, own), eq(&Ok(v1())));
    // It ends before this one begins, and begins after this one ends.
    expect_that!(merge(early, (seconds(99), 15), own), eq(&SHORT));
    expect_that!(merge(late, late, own), eq(&SHORT));
    // Nothing has changed between, whatever the times.
    expect_that!(merge(early, (seconds(99), 20), own), eq(&Ok(v1())));
    let mut other = origins(seconds(100));
    other.add_versions(
        seconds(101),
        [(service(), versions(&["v2"]).pop())].into_iter(),
    );
    let told = other.sent_history(seconds(103), &table()).unwrap();
    let mut origins = origins(seconds(102));
    let until = end(seconds(102), 30);
    origins.merge_history(seconds(103), seconds(103), &told, &until, &until);
    expect_that!(only_version(&origins, seconds(103), &[]), eq(&SEVERAL));
}

/// VMs that start together have views of different ages for a moment; streams were refused for 30 s then.
#[gtest]
fn gap_right_after_the_start_is_part_of_the_one_before_it() {
    let decide = |gap: Time| {
        let mut origins = origins(START);
        origins.record_gap(gap, at(20));
        only_version(&origins, seconds(5), &[])
    };
    expect_that!(decide(seconds(1)), eq(&Ok(v1())));
    expect_that!(decide(seconds(2)), eq(&SHORT));
}
