//! Shares of a limit under lost, delayed and duplicated messages and entries that are cut off.

use {
    arbtest::{
        arbitrary::{self, Unstructured},
        arbtest,
    },
    bronzespool_core::{Team, Time},
    bronzespool_flow::limit::{
        Bucket, DemandReport, HolderId, LeaseTerms, Limit, RATE_SCALE, ShareAllocator, ShareGrant,
        TeamBuckets, Throttled,
    },
    std::time::Duration,
};

/// Upper halves of the seeds, one for each case of a property. The lower half is [`BYTES`], the
/// number of random bytes that a case gets.
const SEEDS: std::ops::Range<u64> = 0x5eed_1000..0x5eed_1100;
const BYTES: u64 = 0x800;

fn check(mut property: impl FnMut(&mut Unstructured<'_>) -> arbitrary::Result<()>) {
    for seed in SEEDS {
        arbtest(&mut property).seed(seed << 32 | BYTES).run();
    }
}

const RATE: u64 = 20;
const INFLIGHT: u32 = 7;

fn team() -> Team {
    Team::try_from("club").unwrap()
}

fn total() -> Limit {
    Limit { rate: RATE * RATE_SCALE, inflight: INFLIGHT }
}

fn terms() -> LeaseTerms {
    LeaseTerms {
        lease: Duration::from_millis(3_000),
        margin: Duration::from_millis(300),
        inflight_time: Duration::from_millis(2_000),
    }
}

fn allocator() -> ShareAllocator {
    let mut allocator = ShareAllocator::first(terms());
    allocator.set_limit(team(), total());
    allocator
}

fn exchange(allocator: &mut ShareAllocator, now: Time, id: u64, holder: &mut TeamBuckets) {
    let report = holder.report(now);
    let grant = allocator.report(now, HolderId(id), &report).unwrap();
    holder.apply(now, &grant);
}

fn holder() -> TeamBuckets {
    let mut holder = TeamBuckets::default();
    holder.add_team(&team());
    holder
}

fn acquire_all(holder: &mut TeamBuckets, now: Time) -> u32 {
    let mut count = 0;
    while holder.acquire(now, &team()).is_ok() {
        count += 1;
    }
    count
}

#[test]
fn report_alone_gets_whole_limit() {
    let (mut allocator, mut entry) = (allocator(), holder());
    exchange(&mut allocator, Time::ZERO, 1, &mut entry);
    assert_eq!(allocator.outstanding(&team()), total());
    assert_eq!(acquire_all(&mut entry, Time::from_secs(2)), INFLIGHT);
}

#[test]
fn report_second_waits_for_first_to_confirm() {
    let (mut allocator, mut one, mut two) = (allocator(), holder(), holder());
    exchange(&mut allocator, Time::ZERO, 1, &mut one);
    exchange(&mut allocator, Time::ZERO, 2, &mut two);
    assert_eq!(two.check(Time::from_secs(1), &team()), Err(Throttled::NoShare));
    exchange(&mut allocator, Time::from_secs(1), 1, &mut one);
    exchange(&mut allocator, Time::from_secs(1), 1, &mut one);
    exchange(&mut allocator, Time::from_secs(1), 2, &mut two);
    assert!(two.check(Time::from_secs(2), &team()).is_ok());
}

#[test]
fn report_busy_entry_gets_more() {
    let (mut allocator, mut one, mut two) = (allocator(), holder(), holder());
    for secs in 0..6 {
        let now = Time::from_secs(secs);
        for _ in 0..100 {
            let _ = one.acquire(now, &team());
        }
        exchange(&mut allocator, now, 1, &mut one);
        exchange(&mut allocator, now, 2, &mut two);
    }
    let held = |entry: &TeamBuckets| entry.clone().report(Time::from_secs(6)).demands[0].held;
    assert!(held(&one).rate > 18 * RATE_SCALE, "{:?}", held(&one));
    assert!(held(&one).inflight >= INFLIGHT - 1);
}

#[test]
fn acquire_after_lease_is_refused() {
    let (mut allocator, mut entry) = (allocator(), holder());
    exchange(&mut allocator, Time::ZERO, 1, &mut entry);
    assert!(entry.acquire(Time::from_millis(2_999), &team()).is_ok());
    assert_eq!(entry.acquire(Time::from_millis(3_000), &team()), Err(Throttled::NoShare));
}

#[test]
fn expire_cut_off_entry_returns_share() {
    let (mut allocator, mut one, mut two) = (allocator(), holder(), holder());
    exchange(&mut allocator, Time::ZERO, 1, &mut one);
    let rate = |allocator: &ShareAllocator| allocator.outstanding(&team()).rate;
    exchange(&mut allocator, Time::from_millis(3_299), 2, &mut two);
    assert_eq!(two.check(Time::from_millis(3_299), &team()), Err(Throttled::NoShare));
    exchange(&mut allocator, Time::from_millis(3_300), 2, &mut two);
    assert_eq!(rate(&allocator), RATE * RATE_SCALE);
    assert_eq!(two.check(Time::from_millis(3_400), &team()), Err(Throttled::Inflight));
    exchange(&mut allocator, Time::from_millis(5_300), 2, &mut two);
    assert!(two.check(Time::from_millis(5_400), &team()).is_ok());
}

#[test]
fn new_allocator_adopts_shares() {
    let (mut old, mut one, mut two) = (allocator(), holder(), holder());
    exchange(&mut old, Time::ZERO, 1, &mut one);
    let mut new = ShareAllocator::new(Time::from_secs(1), terms());
    new.set_limit(team(), total());
    exchange(&mut new, Time::from_secs(1), 2, &mut two);
    assert_eq!(two.check(Time::from_secs(2), &team()), Err(Throttled::NoShare));
    exchange(&mut new, Time::from_secs(2), 1, &mut one);
    assert!(one.check(Time::from_secs(3), &team()).is_ok());
}

/// A report or an answer in flight.
enum Message {
    Report(usize, DemandReport),
    Answer(usize, ShareGrant),
}

/// Entries and an allocator whose messages are lost, duplicated and delayed. The clock of each
/// entry is off by up to 5 % and has its own origin.
struct Simulation {
    allocator: ShareAllocator,
    entries: Vec<TeamBuckets>,
    clock_rates: Vec<u64>,
    messages: Vec<Message>,
    millis: u64,
    start_times: Vec<u64>,
}

impl Simulation {
    fn local_time(&self, entry: usize) -> Time {
        Time::from_micros((entry as u64 * 1_000_000_000) + self.millis * self.clock_rates[entry])
    }

    fn now(&self) -> Time {
        Time::from_millis(self.millis)
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let entry = u.choose_index(self.entries.len())?;
        let local = self.local_time(entry);
        match u.int_in_range(0..=9)? {
            0 | 1 => self.millis += u.int_in_range(1..=900)?,
            2 | 3 => {
                let report = self.entries[entry].report(local);
                self.messages.push(Message::Report(entry, report));
            }
            4..=6 => self.deliver(u)?,
            7 => self.entries[entry].release(&team()),
            _ => {
                if self.entries[entry].acquire(local, &team()).is_ok() {
                    self.start_times.push(self.millis);
                }
            }
        }
        Ok(())
    }

    fn deliver(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        if self.messages.is_empty() {
            return Ok(());
        }
        let index = u.choose_index(self.messages.len())?;
        let keep = u.ratio(1, 4)?;
        match &self.messages[index] {
            Message::Report(entry, report) => {
                let (entry, now) = (*entry, self.now());
                let answer = self.allocator.report(now, HolderId(entry as u64), report);
                if let Some(grant) = answer {
                    self.messages.push(Message::Answer(entry, grant));
                }
            }
            Message::Answer(entry, grant) => {
                let (entry, grant) = (*entry, grant.clone());
                let local = self.local_time(entry);
                self.entries[entry].apply(local, &grant);
            }
        }
        if !keep {
            self.messages.swap_remove(index);
        }
        Ok(())
    }

    /// Sum of what all entries may use now, by their own clocks.
    fn usable(&self) -> Limit {
        let held = |(entry, buckets): (usize, &TeamBuckets)| {
            let local = self.local_time(entry);
            buckets
                .clone()
                .report(local)
                .demands
                .iter()
                .map(|d| d.held)
                .fold(Limit::default(), Limit::plus)
        };
        self.entries.iter().enumerate().map(held).fold(Limit::default(), Limit::plus)
    }
}

fn random_simulation(u: &mut Unstructured<'_>) -> arbitrary::Result<Simulation> {
    let count = u.int_in_range(1..=4)?;
    let mut clock_rates = Vec::new();
    for _ in 0..count {
        clock_rates.push(u.int_in_range(950..=1_050)?);
    }
    let entries = (0..count).map(|_| holder()).collect();
    let (messages, start_times) = (Vec::new(), Vec::new());
    Ok(Simulation {
        allocator: allocator(),
        entries,
        clock_rates,
        messages,
        millis: 0,
        start_times,
    })
}

#[test]
fn shares_never_exceed_limit() {
    check(|u| {
        let mut simulation = random_simulation(u)?;
        while !u.is_empty() {
            simulation.step(u)?;
            let sum = simulation.usable();
            assert!(sum.rate <= RATE * RATE_SCALE, "rate {sum:?} at {} ms", simulation.millis);
        }
        Ok(())
    });
}

#[test]
fn starts_never_exceed_rate() {
    check(|u| {
        let mut simulation = random_simulation(u)?;
        while !u.is_empty() {
            simulation.step(u)?;
        }
        // Each entry may save its share of one second of tokens, and one token if that is less.
        let burst = RATE + simulation.entries.len() as u64;
        for (i, from) in simulation.start_times.iter().enumerate() {
            for (j, to) in simulation.start_times.iter().enumerate().skip(i) {
                let span = (to - from) * 1_050 / 1_000;
                let allowed = burst + RATE * span / 1_000 + 1;
                assert!(((j - i) as u64) < allowed, "{} in {span} ms", j - i + 1);
            }
        }
        Ok(())
    });
}

/// Requests end within `inflight_time` after their lease, as deadlines ensure.
#[test]
fn inflight_never_exceeds_limit() {
    check(|u| {
        let mut simulation = random_simulation(u)?;
        let mut running: Vec<(usize, u64)> = Vec::new();
        while !u.is_empty() {
            let before: Vec<_> = simulation.entries.iter().map(|e| e.inflight(&team())).collect();
            simulation.step(u)?;
            for (entry, count) in before.into_iter().enumerate() {
                let now = simulation.entries[entry].inflight(&team());
                if now > count {
                    running.push((entry, simulation.millis + 1_500));
                } else if now < count {
                    let index = running.iter().position(|(e, _)| *e == entry).unwrap();
                    running.remove(index);
                }
            }
            let (ended, still) =
                running.into_iter().partition(|(_, ends)| *ends <= simulation.millis);
            running = still;
            for (entry, _) in Vec::from_iter::<Vec<(usize, u64)>>(ended) {
                simulation.entries[entry].release(&team());
            }
            assert!(running.len() <= INFLIGHT as usize, "{running:?}");
        }
        Ok(())
    });
}

#[test]
fn acquire_after_idle_has_one_second_of_tokens() {
    let mut bucket = Bucket::default();
    let limit = Limit { rate: 5 * RATE_SCALE, inflight: 1_000 };
    bucket.set(Time::ZERO, limit, Time::MAX);
    let later = Time::from_secs(100);
    let taken = (0..100).filter(|_| bucket.acquire(later).is_ok()).count();
    assert_eq!(taken, 5);
    assert_eq!(bucket.acquire(later), Err(Throttled::Rate(Duration::from_millis(200))));
}
