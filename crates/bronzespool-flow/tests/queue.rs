//! The queue: order of the teams, bounds, deadlines and retry delays.

use {
    arbtest::{
        arbitrary::{self, Unstructured},
        arbtest,
    },
    bronzespool_core::{Code, Team, Time},
    bronzespool_flow::limit::{FairQueue, QueueLimits},
    std::time::Duration,
};

/// Upper halves of the seeds, one for each case of a property. The lower half is [`BYTES`], the
/// number of random bytes that a case gets.
const SEEDS: std::ops::Range<u64> = 0x5eed_2000..0x5eed_2100;
const BYTES: u64 = 0x800;

fn check(mut property: impl FnMut(&mut Unstructured<'_>) -> arbitrary::Result<()>) {
    for seed in SEEDS {
        arbtest(&mut property).seed(seed << 32 | BYTES).run();
    }
}

const NO_DEADLINE: Time = Time::MAX;

fn team(name: &str) -> Team {
    Team::try_from(name).unwrap()
}

fn queue(total: usize, team: usize) -> FairQueue<u32> {
    FairQueue::new(QueueLimits { total, team }, 7)
}

fn fill(queue: &mut FairQueue<u32>, name: &str, items: impl IntoIterator<Item = u32>) {
    for item in items {
        assert_eq!(queue.push(Time::ZERO, team(name), NO_DEADLINE, item), None);
    }
}

fn pop_all(queue: &mut FairQueue<u32>) -> Vec<u32> {
    std::iter::from_fn(|| queue.pop(Time::ZERO, |_| true)).map(|e| e.item).collect()
}

#[test]
fn pop_serves_teams_in_turn() {
    let mut queue = queue(10, 10);
    fill(&mut queue, "a", 0..4);
    fill(&mut queue, "b", 10..12);
    fill(&mut queue, "c", [20]);
    assert_eq!(pop_all(&mut queue), [0, 10, 20, 1, 11, 2, 3]);
}

#[test]
fn pop_skips_team_at_limit() {
    let mut queue = queue(10, 10);
    fill(&mut queue, "a", 0..2);
    fill(&mut queue, "b", 10..12);
    let popped = queue.pop(Time::ZERO, |t| *t != team("a")).unwrap();
    assert_eq!(popped.item, 10);
    assert_eq!(pop_all(&mut queue), [0, 11, 1]);
}

#[test]
fn push_full_evicts_longest_team() {
    let mut queue = queue(4, 4);
    fill(&mut queue, "a", 0..4);
    let refused = queue.push(Time::ZERO, team("b"), NO_DEADLINE, 10).unwrap();
    assert_eq!((refused.item, refused.code), (3, Code::QueueFull));
    assert_eq!((queue.len(), queue.team_len(&team("b"))), (4, 1));
    let refused = queue.push(Time::ZERO, team("a"), NO_DEADLINE, 9).unwrap();
    assert_eq!((refused.item, refused.code), (9, Code::QueueFull));
}

#[test]
fn push_team_bound_is_kept() {
    let mut queue = queue(10, 2);
    fill(&mut queue, "a", 0..2);
    let refused = queue.push(Time::ZERO, team("a"), NO_DEADLINE, 2).unwrap();
    assert_eq!(refused.code, Code::QueueFull);
}

#[test]
fn push_wait_beyond_deadline_is_refused() {
    let mut queue = queue(100, 100);
    fill(&mut queue, "a", 0..50);
    for secs in 1..=30 {
        queue.pop(Time::from_secs(secs), |_| true);
    }
    let now = Time::from_secs(30);
    let wait = queue.expected_wait(&team("a"));
    assert!(wait > Duration::from_secs(15) && wait < Duration::from_secs(22), "{wait:?}");
    let refused = queue.push(now, team("a"), now + Duration::from_secs(10), 99).unwrap();
    assert_eq!(refused.code, Code::Overloaded);
    assert!(refused.retry_after >= wait && refused.retry_after <= wait.mul_f64(1.5), "{refused:?}");
    assert_eq!(queue.push(now, team("b"), now + Duration::from_secs(10), 100), None);
}

#[test]
fn retry_after_has_jitter() {
    let mut queue = queue(1, 1);
    let times: std::collections::BTreeSet<_> =
        (0..20).map(|_| queue.retry_after(&team("a"))).collect();
    assert!(times.len() > 15);
}

#[test]
fn expire_returns_late_requests() {
    let mut queue = queue(10, 10);
    queue.push(Time::ZERO, team("a"), Time::from_secs(1), 1);
    queue.push(Time::ZERO, team("a"), Time::from_secs(3), 3);
    assert_eq!(queue.next_deadline(), Some(Time::from_secs(1)));
    let late = queue.expire(Time::from_secs(1));
    assert_eq!((late.len(), late[0].item, late[0].code), (1, 1, Code::DeadlinePassed));
    assert_eq!(queue.len(), 1);
}

/// Every request leaves the queue exactly once, and the bounds hold.
#[test]
fn queue_keeps_every_request() {
    check(|u| {
        let mut queue = queue(5, 3);
        let (mut pushed, mut left, mut now) = (0_u32, Vec::new(), Time::ZERO);
        while !u.is_empty() {
            match u.int_in_range(0..=4)? {
                0..=2 => {
                    let name = *u.choose(&["a", "b", "c"])?;
                    let deadline = now + Duration::from_millis(u.int_in_range(0..=500)?);
                    let refused = queue.push(now, team(name), deadline, pushed);
                    left.extend(refused.map(|r| r.item));
                    pushed += 1;
                }
                3 => left.extend(queue.pop(now, |_| true).map(|e| e.item)),
                _ => {
                    now += Duration::from_millis(u.int_in_range(0..=100)?);
                    left.extend(queue.expire(now).into_iter().map(|r| r.item));
                }
            }
            assert!(
                queue.len() <= 5 && ["a", "b", "c"].iter().all(|t| queue.team_len(&team(t)) <= 3)
            );
        }
        left.extend(queue.drain(Code::Stopping).into_iter().map(|r| r.item));
        left.sort_unstable();
        assert_eq!(left, (0..pushed).collect::<Vec<_>>());
        Ok(())
    });
}
