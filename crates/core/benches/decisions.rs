//! The cost of single decisions, against the number of candidates.

use std::{hint, sync, time};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use indexmap::IndexMap;
use pimentohook_core::{
    admission, id, intent, limits, membership,
    routing::{planner, score},
};
use rand::SeedableRng as _;

const SIZES: [usize; 3] = [20, 200, 2_000];
const WINDOW: time::Duration = time::Duration::from_mins(1);

fn name<T>(text: &str) -> T
where
    T: std::str::FromStr<Err = id::ParseError>,
{
    text.parse().expect("a name")
}

fn report(index: usize) -> membership::AgentReport {
    membership::AgentReport {
        vm: name(&format!("vm-{index}")),
        service: name("hooks"),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: name("fyn"),
        incarnation: id::Incarnation::new(1),
        view_stamp: admission::ViewStamp::new(WINDOW * 10),
        openness: admission::AdmissionState::Open,
        weights: None,
        slot_count: 8,
        running_count: 2,
        config_version: id::ConfigVersion::new(1),
        fencing: id::FencingNumber::new(1),
        burst: None,
    }
}

fn view(count: usize, now: time::Instant) -> membership::View {
    let mut view = membership::View::new(membership::ViewLimits {
        silence_max: time::Duration::from_secs(2),
        window: WINDOW,
        join_age: time::Duration::from_secs(5),
    });
    for index in 0..count {
        view.record(now, report(index));
    }
    view
}

fn routing(criterion: &mut Criterion) {
    let now = time::Instant::now();
    let config = intent::Config::default();
    let mut group = criterion.benchmark_group("routing_decision");
    for count in SIZES {
        let view = view(count, now);
        let records: IndexMap<id::VmId, sync::Arc<score::UpstreamStats>> = view
            .members()
            .map(|member| (member.report.vm.clone(), sync::Arc::default()))
            .collect();
        let planner = planner::Planner {
            view: &view,
            config: &config,
            now,
            uptime: WINDOW * 2,
            chain_length: 3,
        };
        let query = planner::RouteQuery {
            request_id: name("request"),
            attempt: id::AttemptNumber::new(1),
            is_new: true,
            service: name("hooks"),
            idempotent: true,
        };
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(7);
        group.bench_function(BenchmarkId::new("repeatable", count), |bencher| {
            bencher.iter(|| {
                let record_of = |vm: &id::VmId| records.get(vm).cloned();
                hint::black_box(planner.plan_idempotent(&query, record_of, 0, &mut rng))
            });
        });
        group.bench_function(BenchmarkId::new("once", count), |bencher| {
            bencher.iter(|| hint::black_box(planner.plan_non_idempotent(&query)));
        });
    }
    group.finish();
}

fn admission(criterion: &mut Criterion) {
    let zero = time::Instant::now();
    let limits = admission::RequestTableLimits {
        window: WINDOW,
        entries_max: 100_000,
        view_age_max: WINDOW,
    };
    let slots = limits::FairSlots::new(8, WINDOW);
    let mut table = admission::RequestTable::new(id::Incarnation::new(1), zero, limits, slots);
    let gate = admission::AdmissionConditions {
        openness: admission::AdmissionState::Open,
        weights: None,
        expected_duration: time::Duration::ZERO,
    };
    let mut count: u64 = 0;
    criterion.bench_function("admission", |bencher| {
        bencher.iter(|| {
            count += 1;
            // A millisecond passes per request, so that the window bounds the table.
            let now = zero + time::Duration::from_millis(count);
            let dispatch = admission::Dispatch {
                request_id: name(&format!("request-{count}")),
                attempt: id::AttemptNumber::new(1),
                incarnation: id::Incarnation::new(1),
                view_stamp: table.view_stamp(now),
                organisation: name("member"),
                weights: None,
                idempotent: false,
                remaining_ms: 1_000,
            };
            let admitted = table.admit(now, &dispatch, &gate);
            table.finish(now, &dispatch.request_id);
            hint::black_box(admitted)
        });
    });
}

criterion_group!(benches, routing, admission);
criterion_main!(benches);
