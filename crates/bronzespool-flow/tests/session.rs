//! Sessions under clock drift and delayed or lost renewals.

use {
    arbtest::{
        arbitrary::{self, Unstructured},
        arbtest,
    },
    bronzespool_core::{Instance, Time},
    bronzespool_flow::session::{SessionHolder, SessionId, SessionTable},
    std::{collections::BTreeMap, time::Duration},
};

/// Upper halves of the seeds, one for each case of a property. The lower half is [`BYTES`], the
/// number of random bytes that a case gets.
const SEEDS: std::ops::Range<u64> = 0x5e55_1000..0x5e55_1200;
const BYTES: u64 = 0x400;
const LEASE: Duration = Duration::from_millis(3_000);
const MARGIN: Duration = Duration::from_millis(300);
/// Rates of a clock in thousandths. The ratio of the fastest to the slowest is at most the ratio of
/// lease plus margin to lease, which is the drift that the margin allows for.
const RATES: std::ops::RangeInclusive<u64> = 955..=1_050;
const STEPS: u32 = 60;

fn check(mut property: impl FnMut(&mut Unstructured<'_>) -> arbitrary::Result<()>) {
    for seed in SEEDS {
        arbtest(&mut property).seed(seed << 32 | BYTES).run();
    }
}

fn name() -> Instance {
    Instance::try_from("entry-1").unwrap()
}

/// A message in flight.
#[derive(Clone, Copy, Debug)]
enum Message {
    Open { sent: Time },
    Renew { sent: Time, id: SessionId },
    Granted { sent: Time, id: SessionId },
}

/// A hub and one holder; `now` is real time in microseconds.
struct Simulation {
    now: u64,
    rates: [u64; 2],
    table: SessionTable,
    holder: SessionHolder,
    session: Option<SessionId>,
    messages: BTreeMap<(u64, u32), Message>,
    serial: u32,
}

impl Simulation {
    fn new(rates: [u64; 2]) -> Self {
        Self {
            now: 0,
            rates,
            table: SessionTable::new(LEASE, MARGIN),
            holder: SessionHolder::new(),
            session: None,
            messages: BTreeMap::new(),
            serial: 0,
        }
    }

    const fn hub_time(&self) -> Time {
        Time::from_micros(self.now * self.rates[0] / 1_000)
    }

    const fn holder_time(&self) -> Time {
        Time::from_micros(self.now * self.rates[1] / 1_000)
    }

    fn send(&mut self, u: &mut Unstructured<'_>, message: Message) -> arbitrary::Result<()> {
        if u.ratio(1, 5)? {
            return Ok(());
        }
        let arrival = self.now + u.int_in_range(0..=4_000_000)?;
        self.serial += 1;
        self.messages.insert((arrival, self.serial), message);
        Ok(())
    }

    /// Delivers the messages that arrive up to `time`, and expires sessions at each step.
    fn advance(&mut self, u: &mut Unstructured<'_>, time: u64) -> arbitrary::Result<()> {
        while let Some((&(arrival, serial), &message)) = self.messages.first_key_value()
            && arrival <= time
        {
            self.messages.remove(&(arrival, serial));
            self.now = arrival;
            self.expire();
            self.deliver(u, message)?;
        }
        self.now = time;
        self.expire();
        Ok(())
    }

    fn deliver(&mut self, u: &mut Unstructured<'_>, message: Message) -> arbitrary::Result<()> {
        match message {
            Message::Open { sent } => {
                let id = self.table.open(self.hub_time(), name(), 0, 0);
                self.send(u, Message::Granted { sent, id })
            }
            Message::Renew { sent, id } if self.table.renew(self.hub_time(), id, 0) => {
                self.send(u, Message::Granted { sent, id })
            }
            Message::Renew { .. } => Ok(()),
            Message::Granted { sent, id } => {
                self.holder.record_renewal(sent, LEASE);
                self.session = Some(id);
                Ok(())
            }
        }
    }

    fn expire(&mut self) {
        let _ = self.table.expire(self.hub_time());
        let valid = self.holder.is_valid(self.holder_time());
        assert!(
            !valid || !self.table.is_empty(),
            "the holder accepts work after the hub has ended the session"
        );
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let next = self.now + u.int_in_range(0..=1_500_000)?;
        self.advance(u, next)?;
        let sent = self.holder_time();
        match (self.session, u.int_in_range(0..=9)?) {
            (None, _) | (_, 0) => self.send(u, Message::Open { sent }),
            (Some(id), 1) => {
                self.table.retire(id);
                Ok(())
            }
            (Some(id), _) => self.send(u, Message::Renew { sent, id }),
        }
    }
}

#[test]
fn holder_ends_first() {
    check(|u| {
        let mut simulation = Simulation::new([u.int_in_range(RATES)?, u.int_in_range(RATES)?]);
        for _ in 0..STEPS {
            simulation.step(u)?;
        }
        Ok(())
    });
}

#[test]
fn renew_late_refused() {
    let mut table = SessionTable::new(LEASE, MARGIN);
    let id = table.open(Time::ZERO, name(), 0, 0);
    let end = Time::ZERO + LEASE + MARGIN;
    assert!(!table.renew(end, id, 0));
    assert_eq!(table.expire(end).len(), 1);
    assert!(!table.renew(end, id, 0));
}

#[test]
fn retire_counts_until_end() {
    let mut table = SessionTable::new(LEASE, MARGIN);
    let id = table.open(Time::ZERO, name(), 0, 4);
    table.retire(id);
    assert!(!table.renew(Time::from_millis(1), id, 9));
    assert_eq!(table.lowest_acked(), Some(4));
    let end = Time::ZERO + LEASE + MARGIN;
    assert!(table.expire(Time::from_micros(end.as_micros() - 1)).is_empty());
    assert_eq!(table.lowest_acked(), Some(4));
    assert_eq!(table.expire(end)[0].id, id);
    assert_eq!(table.lowest_acked(), None);
}

#[test]
fn open_replaces_earlier_session() {
    let mut table = SessionTable::new(LEASE, MARGIN);
    let first = table.open(Time::ZERO, name(), 0, 7);
    let second = table.open(Time::ZERO, name(), 0, 3);
    assert!(!table.is_open(first));
    assert_eq!(table.lowest_acked(), Some(3));
    assert!(table.close(first).is_none());
    assert!(table.renew(Time::ZERO, second, 8));
    assert_eq!(table.lowest_acked(), Some(8));
}

#[test]
fn ack_never_falls() {
    let mut table = SessionTable::new(LEASE, MARGIN);
    let id = table.open(Time::ZERO, name(), 0, 5);
    table.ack(id, 9);
    table.ack(id, 6);
    assert!(table.renew(Time::ZERO, id, 7));
    assert_eq!(table.acked_by(id), Some(9));
}
