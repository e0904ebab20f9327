use crate::{
    EndpointEntry, EndpointTable, KeptVersion, SoftwareVersion, StreamId, StreamOrigin,
    StreamOrigins, ToldVersions, VersionView, ViewEnd, VmEntry, asked_vms, copy_holders,
    endpoints_tests::{at, entry},
    lacks_versions,
};
use core::{net::Ipv4Addr, time::Duration};
use googletest::prelude::*;
use poplarswitch_entity::{ServiceName, Time, VmName};

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
    told: &[ToldVersions],
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
    let view = VersionView {
        now,
        asked: now,
        confirmed: Some(now),
        started,
        unix_ms: UNIX_MS,
        endpoints: last,
        told,
    };
    origins.only_version(&service, &view).ok()
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
            let asked = asked_vms(stream, &others, &others);
            let holders = copy_holders(stream, &others);
            expect_that!(holders.len(), eq(usize::from(count.min(2))));
            expect_that!(holders.iter().all(|ip| asked.contains(ip)), eq(true));
            // A holder is asked, too, after it has lost its place to a VM that has joined.
            let mut joined = others.clone();
            joined.push(Ipv4Addr::new(10, 0, 1, 1));
            let asked = asked_vms(stream, &joined, &joined);
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
        vec![ToldVersions {
            versions: versions.collect(),
            until: Some(ViewEnd::default()),
        }]
    };
    let told_version = |versions: &[&str]| only_version_told(&[&recent], short, &told(versions));
    expect_that!(told_version(&["v1"]), eq(&v1));
    expect_that!(told_version(&["v1", "v0"]), none());
    expect_that!(told_version(&["v1", ""]), none());
    // A version that has just gone may have begun the stream.
    expect_that!(only_version(&[&two, &one], long), none());
}

fn kept(software: &str, last_ms: Option<u64>) -> KeptVersion {
    KeptVersion {
        service: ServiceName::new("chat"),
        software: SoftwareVersion::new(software),
        last_ms,
    }
}

fn vm_entry(start_ms: u64, versions: Vec<KeptVersion>) -> VmEntry {
    VmEntry {
        name: VmName::new("front-1"),
        ip: Ipv4Addr::new(10, 0, 0, 1),
        data_centre: "bole".to_owned(),
        start_ms,
        revision: at(1),
        held: Vec::new(),
        versions,
        streams: Vec::new(),
    }
}

/// The only version of the service `chat` for a process that restored entries at its start, `uptime`
/// ago, and has seen one table since.
fn only_version_restored(
    vms: &[VmEntry],
    endpoints: &EndpointTable,
    uptime: Duration,
) -> Option<SoftwareVersion> {
    let mut origins = StreamOrigins::default();
    origins.restore(START, UNIX_MS, &VmName::new("front-2"), vms);
    for millis in (0..=uptime.as_millis() as u64).step_by(300) {
        origins.note_versions(START + Duration::from_millis(millis), endpoints);
    }
    let now = START + uptime;
    let unix_ms = UNIX_MS + uptime.as_millis() as u64;
    let service = ServiceName::new("chat");
    let view = VersionView {
        now,
        asked: now,
        confirmed: Some(now),
        started: START,
        unix_ms,
        endpoints,
        told: &[],
    };
    origins.only_version(&service, &view).ok()
}

/// After all VMs had ended, streams went on at the version that was left of two, and were refused
/// while an endpoint was young though there had been one version only.
#[gtest]
fn versions_kept_by_vms_show_what_was_before_a_start() {
    let old = UNIX_MS - 60_000;
    let settled = table(&[("e1", Some("v1"), old), ("e2", Some("v1"), old)]);
    let young = table(&[("e1", Some("v1"), old), ("e2", Some("v1"), UNIX_MS - 5_000)]);
    let v1 = Some(SoftwareVersion::new("v1"));
    let (short, long) = (Duration::from_secs(2), Duration::from_secs(40));
    let alone = [vm_entry(old, vec![kept("v1", None)])];
    expect_that!(only_version_restored(&[], &young, short), none());
    expect_that!(only_version_restored(&alone, &young, short), eq(&v1));
    // The VM that wrote the entry hasn't seen enough either.
    let young_vm = [vm_entry(UNIX_MS - 10_000, vec![kept("v1", None)])];
    expect_that!(only_version_restored(&young_vm, &young, short), none());
    // A version that was withdrawn, which one VM tells of.
    let gone = |last_ms| {
        let told = vm_entry(UNIX_MS - 10_000, vec![kept("v0", last_ms)]);
        [vm_entry(old, vec![kept("v1", None)]), told]
    };
    for endpoints in [&settled, &young] {
        for last_ms in [Some(UNIX_MS - 10_000), Some(UNIX_MS + 3_000), None] {
            let restored = only_version_restored(&gone(last_ms), endpoints, short);
            expect_that!(restored, none(), "{last_ms:?}");
        }
        let long_gone = gone(Some(UNIX_MS - 31_000));
        expect_that!(only_version_restored(&long_gone, endpoints, short), eq(&v1));
        expect_that!(only_version_restored(&gone(None), endpoints, long), eq(&v1));
    }
    let unknown = [vm_entry(old, vec![kept("v1", None), kept("", None)])];
    expect_that!(only_version_restored(&unknown, &settled, short), none());
}

/// Entries must be written when a version comes or has gone, and only then.
#[gtest]
fn kept_versions_change_with_releases_only() {
    let one = table(&[("e1", Some("v1"), 1)]);
    let two = table(&[("e1", Some("v1"), 1), ("e2", Some("v2"), 1)]);
    let replaced = table(&[("e3", Some("v1"), 1)]);
    let none = EndpointTable::default();
    let mut origins = StreamOrigins::default();
    let mut written = Vec::new();
    let mut writes = 0;
    let mut now = START;
    // A release, withdrawn after 10 s, and an endpoint that is replaced with a gap of 3 s.
    let tables = [
        (&one, 20),
        (&two, 10),
        (&one, 60),
        (&none, 3),
        (&replaced, 30),
    ];
    for (endpoints, seconds) in tables {
        for _ in 0..seconds * 4 {
            now = now + Duration::from_millis(250);
            let is_changed = origins.note_versions(now, endpoints);
            let current = origins.kept_versions(now, UNIX_MS);
            expect_that!(is_changed, eq(lacks_versions(&written, &current)));
            if is_changed {
                written = current;
                writes += 1;
            }
        }
    }
    // The first version, the second one, and its end.
    expect_that!(writes, eq(3));
    let ended = written.iter().find(|kept| kept.software.as_str() == "v2");
    expect_that!(
        ended.and_then(|kept| kept.last_ms),
        some(eq(UNIX_MS - 5_000))
    );
}

/// An entry must not grow without bound, and lists all versions of a service or none.
#[gtest]
fn kept_versions_are_bounded() {
    let mut endpoints = EndpointTable::default();
    for index in 0..300_u64 {
        endpoints.upsert(EndpointEntry {
            service: ServiceName::new(format!("s{:03}", index / 3)),
            software: Some(SoftwareVersion::new(&format!("v{}", index % 3))),
            ..entry(&format!("e{index}"), index + 1)
        });
    }
    let mut origins = StreamOrigins::default();
    origins.note_versions(START, &endpoints);
    let kept = origins.kept_versions(START, UNIX_MS);
    expect_that!(kept.len(), eq(198));
    expect_that!(kept.iter().all(|kept| kept.last_ms.is_none()), eq(true));
}
