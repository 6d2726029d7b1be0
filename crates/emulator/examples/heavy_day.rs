//! Prints the results of a simulation under heavy load, one line per seed and queue.
//!
//! `cargo run --release -p emulator --example heavy_day -- --sheet leads --seeds 3`

use clap::{Arg, ArgAction, Command};
use dispatch::{AdviceUsage, CallReason};
use emulator::{simulate, Disturbances, Scenario};
use std::time::{Duration, Instant};

fn args() -> Command {
    Command::new("heavy_day")
        .arg(Arg::new("sheet").long("sheet").default_value("leads").value_parser([
            "leads",
            "certificates",
            "tiles",
            "plant",
            "uneven",
        ]))
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .default_value("3")
                .value_parser(clap::value_parser!(u64)),
        )
        .arg(Arg::new("exact").long("exact").action(ArgAction::SetTrue))
        .arg(Arg::new("declared").long("declared").action(ArgAction::SetTrue))
        .arg(Arg::new("leader-loss").long("leader-loss").action(ArgAction::SetTrue))
        .arg(Arg::new("flood").long("flood").action(ArgAction::SetTrue))
        .arg(Arg::new("queue-flood").long("queue-flood").action(ArgAction::SetTrue))
        .arg(Arg::new("burst").long("burst").action(ArgAction::SetTrue))
        .arg(Arg::new("calm").long("calm").action(ArgAction::SetTrue))
        .arg(Arg::new("no-accounts").long("no-accounts").action(ArgAction::SetTrue))
        .arg(Arg::new("zone-cut").long("zone-cut").action(ArgAction::SetTrue))
        .arg(
            Arg::new("shrink")
                .long("shrink")
                .default_value("1")
                .value_parser(clap::value_parser!(f64)),
        )
        .arg(Arg::new("seconds").long("seconds").value_parser(clap::value_parser!(u64)))
        .arg(
            Arg::new("event-us")
                .long("event-us")
                .default_value("0")
                .value_parser(clap::value_parser!(u64)),
        )
}

fn main() {
    let args = args().get_matches();
    let value = |name: &str| *args.get_one::<u64>(name).expect("every argument has a default");
    let mut scenario = match args.get_one::<String>("sheet").map(String::as_str) {
        Some("certificates") => Scenario::certificate_cluster(),
        Some("plant") => Scenario::tile_plant(),
        Some("tiles") => Scenario::tile_cell(),
        Some("uneven") => Scenario::uneven_cell(),
        _ => Scenario::lead_desk(),
    };
    scenario =
        scenario.scaled_down(*args.get_one::<f64>("shrink").expect("every argument has a default"));
    scenario.exact_estimates = args.get_flag("exact");
    scenario.learn = !args.get_flag("declared");
    scenario.event_cost = Duration::from_micros(value("event-us"));
    if let Some(seconds) = args.get_one::<u64>("seconds") {
        scenario.arrival_period = Duration::from_secs(*seconds);
    }
    if args.get_flag("no-accounts") {
        scenario.accounts_configured = false;
    }
    let disturbances = if args.get_flag("flood") {
        Disturbances::with_flood(0)
    } else if args.get_flag("burst") {
        Disturbances::with_burst_of_all(scenario.queues.len())
    } else if args.get_flag("calm") {
        Disturbances::default()
    } else if args.get_flag("zone-cut") {
        Disturbances::with_zone_partition()
    } else if args.get_flag("queue-flood") {
        Disturbances::with_queue_flood()
    } else if args.get_flag("leader-loss") {
        Disturbances::with_leader_loss()
    } else {
        Disturbances::with_bursts()
    };
    println!("seed,worth,queue,owed,on_time,late,worth_of_queue,worth_of_largest,start_p50_ms,start_p95_ms");
    for seed in 1..=value("seeds") {
        let started = Instant::now();
        let summary = simulate(&scenario, &disturbances, seed);
        for q in &summary.queues {
            println!(
                "{seed},{:.3},{},{},{},{},{:.3},{:.3},{},{}",
                summary.worth,
                q.name,
                q.expected,
                q.on_time,
                q.late,
                q.worth,
                q.worth_of_largest,
                q.start_delay_ms.0,
                q.start_delay_ms.1
            );
        }
        for a in &summary.accounts {
            println!(
                "# seed {seed}: {} owed {} on time {} late {} refused {} worth {:.3}",
                a.name, a.owed, a.on_time, a.late, a.refused, a.worth
            );
        }
        let by_second = summary.queues.last().map(|q| q.by_second.clone()).unwrap_or_default();
        let late: Vec<u32> = by_second.iter().map(|(count, on_time)| count - on_time).collect();
        println!("# seed {seed}: late short jobs by second of arrival: {late:?}");
        println!(
            "# seed {seed}: runs {} stopped {} wasted {:.0} core-s, advice {} calls {:.0} s, stale {}, overfull {}, alone {}, busy {:.3}, played in {:.1} s",
            summary.runs, summary.stopped, summary.wasted_core_seconds, summary.advice_calls, summary.advice_time.as_secs_f64(),
            summary.stale_tickets, summary.over_capacity, summary.gang_timeouts, summary.utilization, started.elapsed().as_secs_f64()
        );
        for (name, usage) in &summary.advice_usage {
            print_advice(seed, name, usage);
        }
    }
}

fn print_advice(seed: u64, name: &str, usage: &AdviceUsage) {
    let calls: Vec<String> = CallReason::ALL
        .iter()
        .zip(usage.calls)
        .map(|(reason, c)| {
            let in_line = c.in_line.as_millis() as u64 / c.calls.max(1);
            let (time, workers) = (c.time.as_secs(), c.workers / c.calls.max(1));
            format!(
                "{} {} calls {time} s, {workers} workers, {in_line} ms in line",
                reason.name(),
                c.calls
            )
        })
        .collect();
    println!(
        "# seed {seed}: advice {name}: {}; failed {}, too late {}, tickets {}, used {}",
        calls.join("; "),
        usage.failed,
        usage.too_late,
        usage.tickets,
        usage.used
    );
}
