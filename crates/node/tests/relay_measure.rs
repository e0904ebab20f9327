//! Measures one relay process: memory, processor at rest, latency that it adds, memory a stream.
//!
//! Run by hand, in release, on a machine that does nothing else:
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
use usage::{processor_seconds, resident_mb};

/// Calls in a row, for latency, after some that warm connections up.
const CALLS: u32 = 4_000;
const WARM_UP: u32 = 200;
/// Streams at once.
const STREAMS: u32 = 500;
/// Time between the starts of two streams.
const APART: Duration = Duration::from_millis(3);
/// Time over which processor use at rest is counted.
const REST: Duration = Duration::from_secs(10);

fn series(caller: &Caller, address: SocketAddr, names: &AtomicU32) -> Histogram<u64> {
    let mut times = Histogram::new(3).unwrap();
    for number in 0..WARM_UP + CALLS {
        let name = format!("m{}", names.fetch_add(1, Ordering::Relaxed));
        let ask = CallRequest {
            id: &name,
            path: "/seats/1",
            key: KEYS[0],
            deadline: Duration::from_secs(3),
        };
        let began = Instant::now();
        let told = caller.call(address, &ask).unwrap();
        assert_that!(told.status, eq(200));
        if number >= WARM_UP {
            times.record(began.elapsed().as_micros() as u64).unwrap();
        }
    }
    times
}

#[gtest]
#[ignore = "measures; run by hand"]
fn one_relay() {
    let fleet = Fleet::start(23, 1);
    for endpoint in &fleet.endpoints {
        endpoint.update_behaviour(|behaviour| behaviour.run_time = Duration::ZERO);
    }
    thread::sleep(Duration::from_secs(2));
    let process = fleet.process_id(0);
    let (before, memory) = (processor_seconds(process), resident_mb(process));
    thread::sleep(REST);
    let busy = (processor_seconds(process) - before) / REST.as_secs_f64();
    println!("at rest: {memory:.1} MB, {:.2} % of a core", busy * 100.0);

    let (caller, names) = (Caller::new(Configuration::host()), AtomicU32::new(0));
    let direct = series(&caller, fleet.proxies[2].address(), &names);
    let routed = series(&caller, fleet.address(0), &names);
    for (quantile, name) in [(0.5, "p50"), (0.99, "p99")] {
        let (a, b) = (
            direct.value_at_quantile(quantile),
            routed.value_at_quantile(quantile),
        );
        println!(
            "{name}: direct {a} us, routed {b} us, added {} us",
            b.cast_signed() - a.cast_signed()
        );
    }

    for engine in &fleet.endpoints[..2] {
        engine.update_behaviour(|behaviour| {
            behaviour.event_count = 60;
            behaviour.event_interval = Duration::from_millis(100);
        });
    }
    let before = resident_mb(process);
    let peak = thread::scope(|scope| {
        for _ in 0..STREAMS {
            scope.spawn(|| fleet.call(0, "/chat/1").1.map(|told| told.status));
            thread::sleep(APART);
        }
        thread::sleep(Duration::from_secs(1));
        resident_mb(process)
    });
    let each = (peak - before) * 1_024.0 / f64::from(STREAMS);
    println!("{STREAMS} streams: {peak:.1} MB, {each:.1} kB a stream");
}
