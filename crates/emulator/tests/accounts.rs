//! Runs the real scheduler with accounts under load, and checks what the callers of each account
//! get. Each test names its load.

use emulator::{simulate, AccountSummary, Disturbances, Scenario, Summary, WeightChange};
use std::time::Duration;

const SEED: u64 = 1;
/// The account that floods: the largest one.
const LARGEST: usize = 0;

fn scenario() -> Scenario {
    Scenario { arrival_period: Duration::from_secs(20), ..Scenario::tile_cell() }
}

fn play(scenario: &Scenario, disturbances: &Disturbances) -> Summary {
    let summary = simulate(scenario, disturbances, SEED);
    println!("seed {SEED}: worth {:.3}, accounts {:#?}", summary.worth, summary.accounts);
    assert_eq!(summary.over_capacity, 0);
    summary
}

/// Jobs of all accounts but the first one: owed, and completed before they were worthless.
fn served_of_others(summary: &Summary) -> (u32, u32) {
    let others = summary.accounts.iter().skip(1);
    let served = |account: &AccountSummary| account.on_time + account.late;
    others.fold((0, 0), |sum, account| (sum.0 + account.owed, sum.1 + served(account)))
}

/// The largest account sends 7.5 times its usual for 6.5 s, which is more than three times what the
/// cell can run. The other accounts send the same jobs as without the flood, and at most 1 % of
/// them may be served less well.
#[test]
fn a_flood_of_one_account_costs_the_others_nothing() {
    let scenario = scenario();
    let calm = served_of_others(&play(&scenario, &Disturbances::default()));
    let flood = served_of_others(&play(&scenario, &Disturbances::with_flood(LARGEST)));
    println!("served of others: {calm:?} without the flood, {flood:?} with it");
    assert_eq!(calm.0, flood.0, "the others send the same jobs");
    assert!(flood.1 * 100 >= calm.1 * 99, "{} of {} are served", flood.1, calm.1);
}

/// All callers send 1.8 times their usual for 6 s. No account within its rate is served less than
/// nine tenths of its jobs.
#[test]
fn a_burst_of_all_leaves_no_account_behind() {
    let scenario = scenario();
    let summary = play(&scenario, &Disturbances::with_burst_of_all(scenario.queues.len()));
    for account in &summary.accounts {
        let AccountSummary { name, owed, on_time, late, refused, .. } = account;
        assert!((on_time + late) * 10 >= owed * 9, "{name}: {on_time} + {late} of {owed}");
        assert!(refused * 20 <= *owed, "{name}: {refused} of {owed} refused");
    }
}

/// A third of the workers is unreachable for 5 s while the cell is nearly full: the small accounts
/// are served as well as the large ones.
#[test]
fn small_accounts_are_served_while_a_zone_is_lost() {
    let summary = play(&scenario(), &Disturbances::with_zone_partition());
    let share = |accounts: &[AccountSummary]| {
        let owed: u32 = accounts.iter().map(|account| account.owed).sum();
        let served: u32 = accounts.iter().map(|account| account.on_time + account.late).sum();
        f64::from(served) / f64::from(owed)
    };
    let (large, small) = (share(&summary.accounts[..3]), share(&summary.accounts[3..]));
    println!("served: {large:.3} of large accounts' jobs, {small:.3} of small ones'");
    assert!(small >= large - 0.03, "{small:.3} beside {large:.3}");
}

/// The weight of the largest account falls to a tenth: most of what it sends is beyond its rate
/// from then on, and the others lose nothing.
#[test]
fn an_account_whose_weight_falls_costs_the_others_nothing() {
    let scenario = scenario();
    let calm = served_of_others(&play(&scenario, &Disturbances::default()));
    let at = Duration::from_secs(8);
    let weight_change = Some(WeightChange { account: LARGEST, at, factor: 0.1 });
    let fallen = Disturbances { weight_change, ..Disturbances::default() };
    let fallen = served_of_others(&play(&scenario, &fallen));
    assert!(fallen.1 * 100 >= calm.1 * 99, "{} of {} are served", fallen.1, calm.1);
}
