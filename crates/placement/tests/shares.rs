//! The order between accounts: properties of ranks, and a full cell that accounts share.

use accounts::{Account, AccountBuilder, Accounts, Shares, Standing, Usage};
use placement::steps::{rank, Rank, Urgency};
use quickcheck::quickcheck;
use std::time::Duration;
use types::ResourceVector;

const NOW: Duration = Duration::from_secs(100);

fn random_urgency(rng: &mut fastrand::Rng) -> Urgency {
    Urgency {
        priority: rng.u32(0..3),
        submitted: NOW - Duration::from_millis(rng.u64(0..20_000)),
        objective: Duration::from_millis(rng.u64(500..10_000)),
        left: Duration::from_millis(rng.u64(50..5_000)),
    }
}

fn random_standing(rng: &mut fastrand::Rng) -> Standing {
    Standing { over_rate: rng.bool(), above_share: rng.bool(), priority: rng.u32(0..2) }
}

fn random_rank(rng: &mut fastrand::Rng) -> Rank {
    rank(&random_urgency(rng), &random_standing(rng), NOW)
}

quickcheck! {
    /// Work that has value and is within the rate goes before work beyond it.
    fn no_flood_goes_before_work_within_its_rate(seed: u64) -> bool {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (a, b) = (random_rank(&mut rng), random_rank(&mut rng));
        let owed = |r: &Rank| !r.worthless && !r.over_rate;
        !owed(&a) || owed(&b) || a < b
    }

    /// Among equals no account above its share goes before one below it.
    fn below_its_share_goes_first_among_equals(seed: u64) -> bool {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (a, b) = (random_rank(&mut rng), random_rank(&mut rng));
        let class = |r: &Rank| (r.worthless, r.over_rate, r.late, r.priority);
        class(&a) != class(&b) || a.above_share || !b.above_share || a < b
    }

    /// Equal standings leave the order of a deployment without accounts.
    fn equal_standings_change_nothing(seed: u64) -> bool {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (a, b) = (random_urgency(&mut rng), random_urgency(&mut rng));
        let standing = random_standing(&mut rng);
        let with = |u: &Urgency| rank(u, &standing, NOW);
        let without = |u: &Urgency| rank(u, &Standing::default(), NOW);
        with(&a).cmp(&with(&b)) == without(&a).cmp(&without(&b))
    }
}

fn account(name: &str, weight: f64) -> Account {
    AccountBuilder::new(name).weight(weight).build()
}

/// Number of slots of the cell; each task uses one.
const SLOTS: u64 = 400;

/// Plays a full cell in ticks. Each account keeps `backlog` tasks waiting, except those that are
/// idle until tick `wakes`; each tick a tenth of the tasks of each account end. Returns the slots
/// that each account uses in the end.
fn play(accounts: &[Account], wakes: &[u32], ticks: u32) -> Vec<u64> {
    let all = Accounts::new(accounts.to_vec()).unwrap();
    let slots = |cpu| ResourceVector { cpu, memory: 0, gpu: 0 };
    let mut used = vec![0_u64; accounts.len()];
    for tick in 0..ticks {
        for used in &mut used {
            *used -= *used / 10 + u64::from(*used % 10 != 0);
        }
        let active: Vec<usize> = (0..accounts.len()).filter(|i| tick >= wakes[*i]).collect();
        while used.iter().sum::<u64>() < SLOTS {
            let mut usage = Usage::default();
            for (account, used) in accounts.iter().zip(&used) {
                usage.take(&account.name, &slots(*used));
            }
            let waiting = active.iter().map(|i| accounts[*i].name.as_str());
            let shares = Shares::new(&all, &usage, waiting, &slots(SLOTS));
            // The first account has sent its work earliest, so that it is served first by time.
            let order = |i: &usize| {
                let urgency = Urgency {
                    priority: 1,
                    submitted: NOW - Duration::from_millis(500 - *i as u64),
                    objective: Duration::from_secs(5),
                    left: Duration::from_secs(1),
                };
                rank(&urgency, &shares.standing(Some(&accounts[*i].name)), NOW)
            };
            let first = active.iter().min_by_key(|i| order(i)).expect("one is active");
            used[*first] += 1;
        }
    }
    used
}

/// A large account that has always more work than the cell holds beside small ones: each gets the
/// share of its weight, to a few tasks, though the large one's work is older.
#[test]
fn a_full_cell_is_shared_by_weight() {
    let accounts = [account("a", 1.0), account("b", 1.0), account("c", 2.0)];
    let used = play(&accounts, &[0, 0, 0], 200);
    println!("{used:?} of {SLOTS} slots");
    for (used, due) in used.iter().zip([100, 100, 200]) {
        assert!(used.abs_diff(due) <= 2, "{used} slots instead of {due}");
    }
}

/// An account is idle, and its share is lent. Once it has work again, its share comes back as
/// tasks end: within as many ticks as it takes for its share of slots to fall free.
#[test]
fn a_lent_share_comes_back_as_runs_end() {
    let accounts = [account("a", 1.0), account("b", 3.0)];
    let lent = play(&accounts, &[0, 100], 100);
    assert_eq!(lent, [SLOTS, 0], "work-conserving while the other is idle");
    // A tenth of the slots falls free each tick; three quarters of the cell are due to `b`.
    let back = play(&accounts, &[0, 100], 100 + 20);
    println!("{back:?} of {SLOTS} slots");
    assert!(back[1] >= 297, "{} slots have come back", back[1]);
}

/// The weight of an account falls to a tenth: its share follows.
#[test]
fn a_share_follows_the_weight() {
    let before = play(&[account("a", 10.0), account("b", 10.0)], &[0, 0], 100);
    let after = play(&[account("a", 1.0), account("b", 10.0)], &[0, 0], 100);
    println!("{before:?}, then {after:?}");
    assert!(before[0].abs_diff(200) <= 2);
    assert!(after[0].abs_diff(36) <= 2);
}

/// 130 accounts of which 100 are idle: the shares of the others are those of their weights among
/// the 30 that are active.
#[test]
fn idle_accounts_take_no_share() {
    let accounts: Vec<Account> = (0..130).map(|i| account(&format!("a{i:03}"), 1.0)).collect();
    let all = Accounts::new(accounts.clone()).unwrap();
    let waiting = accounts.iter().take(30).map(|account| account.name.as_str());
    let cell = ResourceVector { cpu: 1_000, memory: 1_000, gpu: 0 };
    let shares = Shares::new(&all, &Usage::default(), waiting, &cell);
    assert_eq!(shares.iter().count(), 30);
    assert!(shares.iter().all(|(_, share)| (share.due - 1.0 / 30.0).abs() < 1e-9));
}
