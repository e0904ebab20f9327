use crate::{
    EndpointEntry, EndpointTable, KeptVersion, NoVersion, SoftwareVersion, StreamOrigins,
    ToldVersions, VersionView, VmEntry,
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
    origins.record_gap(START, true);
    origins.note_versions(last, &table());
    origins
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
    origins.record_gap(seconds(100), true);
    let told = |texts: &[&str], until: Option<Time>| {
        let versions = versions(texts);
        [ToldVersions { versions, until }]
    };
    let decide = |told: &[ToldVersions]| only_version(&origins, seconds(102), told);
    expect_that!(decide(&[]), eq(&SHORT));
    expect_that!(decide(&told(&["v1"], Some(seconds(99)))), eq(&SHORT));
    expect_that!(decide(&told(&["v1"], None)), eq(&SHORT));
    expect_that!(decide(&told(&["v1"], Some(seconds(100)))), eq(&Ok(v1())));
    expect_that!(decide(&told(&["v1", "v2"], None)), eq(&SEVERAL));
    origins.note_versions(seconds(131), &table());
    expect_that!(only_version(&origins, seconds(131), &[]), eq(&Ok(v1())));
}

/// What VMs that are gone saw in the gap stands in their entries, once they had time to write it.
#[gtest]
fn gap_is_closed_by_entries_that_are_read_after_it() {
    let gap = seconds(100);
    let read = |sent: Time, has_entries: bool, vms: &[VmEntry]| {
        let mut origins = origins(gap);
        origins.record_gap(gap, has_entries);
        origins.read_entries(seconds(102), sent, UNIX_MS, vms);
        only_version(&origins, seconds(102), &[])
    };
    expect_that!(read(gap, true, &[vm_entry("v1", None)]), eq(&SHORT));
    expect_that!(
        read(seconds(101), true, &[vm_entry("v1", None)]),
        eq(&Ok(v1()))
    );
    expect_that!(read(seconds(101), true, &[]), eq(&Ok(v1())));
    // The platform may have lost the entries as well.
    expect_that!(read(seconds(101), false, &[]), eq(&SHORT));
    for last_ms in [None, Some(UNIX_MS - 3_000)] {
        let newer = [vm_entry("v1", None), vm_entry("v2", last_ms)];
        expect_that!(read(seconds(101), true, &newer), eq(&SEVERAL));
    }
    let former = [vm_entry("v0", Some(UNIX_MS - 60_000))];
    expect_that!(read(seconds(101), true, &former), eq(&Ok(v1())));
}

/// A view of another VM brings its history: what it has seen and since when it can have missed nothing.
#[gtest]
fn views_of_other_vms_extend_the_history_only_if_they_meet_it() {
    let merge = |since: Time, until: Time, own_until: Time| {
        let mut other = StreamOrigins::default();
        other.record_gap(since, true);
        other.note_versions(until, &table());
        let mut origins = origins(seconds(100));
        origins.record_gap(seconds(100), true);
        let told = other.sent_history(seconds(103), &table()).unwrap();
        let now = seconds(103);
        origins.merge_history(now, now, &told, Some(until), Some(own_until));
        only_version(&origins, now, &[])
    };
    expect_that!(merge(START, seconds(103), seconds(102)), eq(&Ok(v1())));
    // It ends before this one begins, and begins after this one ends.
    expect_that!(merge(START, seconds(99), seconds(102)), eq(&SHORT));
    expect_that!(merge(seconds(103), seconds(103), seconds(102)), eq(&SHORT));
    let mut other = origins(seconds(100));
    other.add_versions(
        seconds(101),
        [(service(), versions(&["v2"]).pop())].into_iter(),
    );
    let told = other.sent_history(seconds(103), &table()).unwrap();
    let mut origins = origins(seconds(102));
    let until = Some(seconds(102));
    origins.merge_history(seconds(103), seconds(103), &told, until, until);
    expect_that!(only_version(&origins, seconds(103), &[]), eq(&SEVERAL));
}
