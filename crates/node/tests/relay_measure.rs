//! Measures one relay process: its memory and CPU use while idle, the latency that it adds to a
//! call, and its memory per open stream.
//!
//! Run it by hand, in release mode, on an otherwise idle machine:
//!
//!     cargo test --release -p poplarswitch-node --test relay_measure -- --ignored --nocapture

mod relay;
#[path = "common/usage.rs"]
mod usage;

use core::{
    net::SocketAddr,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};
use googletest::prelude::*;
use hdrhistogram::Histogram;
use poplarswitch_deployment::{CallRequest, Caller, Configuration};
use relay::{Fleet, KEYS};
use std::{thread, time::Instant};
use usage::{cpu_seconds, resident_mb};

/// Number of consecutive calls whose latency is recorded.
const LATENCY_CALLS: u32 = 4_000;
/// Number of preceding calls, which are not recorded; they open the connections.
const WARM_UP_CALLS: u32 = 200;
/// Number of concurrent streams.
const STREAM_COUNT: u32 = 500;
/// Interval between the starts of two streams.
const STREAM_START_INTERVAL: Duration = Duration::from_millis(3);
/// Period over which the CPU use of the idle process is measured.
const IDLE_PERIOD: Duration = Duration::from_secs(10);

/// Makes consecutive calls and returns their latency in microseconds.
fn record_latencies(caller: &Caller, address: SocketAddr, ids: &AtomicU32) -> Histogram<u64> {
    let mut histogram = Histogram::new(3).unwrap();
    for number in 0..WARM_UP_CALLS + LATENCY_CALLS {
        let id = format!("m{}", ids.fetch_add(1, Ordering::Relaxed));
        let request = CallRequest {
            deadline: Duration::from_secs(3),
            ..CallRequest::new(&id, "/seats/1", KEYS[0])
        };
        let started = Instant::now();
        let response = caller.call(address, &request).unwrap();
        assert_that!(response.status, eq(200));
        if number >= WARM_UP_CALLS {
            histogram
                .record(started.elapsed().as_micros() as u64)
                .unwrap();
        }
    }
    histogram
}

#[gtest]
#[ignore = "a measurement, to be run by hand"]
fn measure_one_relay() {
    let fleet = Fleet::start(23, 1);
    for endpoint in &fleet.endpoints {
        endpoint.update_behaviour(|behaviour| behaviour.run_time = Duration::ZERO);
    }
    thread::sleep(Duration::from_secs(2));
    let pid = fleet.pid(0);
    let (before, memory) = (cpu_seconds(pid), resident_mb(pid));
    thread::sleep(IDLE_PERIOD);
    let cpu_share = (cpu_seconds(pid) - before) / IDLE_PERIOD.as_secs_f64();
    println!(
        "idle: {memory:.1} MB, {:.2} % of a CPU core",
        cpu_share * 100.0
    );

    let (caller, ids) = (Caller::new(Configuration::host()), AtomicU32::new(0));
    let direct = record_latencies(&caller, fleet.proxies[2].address(), &ids);
    let routed = record_latencies(&caller, fleet.address(0), &ids);
    for (quantile, name) in [(0.5, "p50"), (0.99, "p99")] {
        let (direct_us, routed_us) = (
            direct.value_at_quantile(quantile),
            routed.value_at_quantile(quantile),
        );
        println!(
            "{name}: direct {direct_us} us, routed {routed_us} us, added {} us",
            routed_us.cast_signed() - direct_us.cast_signed()
        );
    }

    for engine in &fleet.endpoints[..2] {
        engine.update_behaviour(|behaviour| {
            behaviour.event_count = 60;
            behaviour.event_interval = Duration::from_millis(100);
        });
    }
    let before = resident_mb(pid);
    let peak = thread::scope(|scope| {
        for _ in 0..STREAM_COUNT {
            scope.spawn(|| fleet.call(0, "/chat/1").1.map(|response| response.status));
            thread::sleep(STREAM_START_INTERVAL);
        }
        thread::sleep(Duration::from_secs(1));
        resident_mb(pid)
    });
    let per_stream = (peak - before) * 1_024.0 / f64::from(STREAM_COUNT);
    println!("{STREAM_COUNT} streams: {peak:.1} MB, {per_stream:.1} kB per stream");
}
