//! The view under lost, duplicated and reordered deltas.

use {
    arbtest::{
        arbitrary::{self, Unstructured},
        arbtest,
    },
    bronzespool_core::{Capacity, Center, Instance, Place, Rack, Region, Service, ServiceSpec},
    bronzespool_flow::view::{Delta, DeltaLog, EndpointRecord, Error, Presence, View, ViewUpdate},
};

/// Upper halves of the seeds, one for each case of a property. The lower half is [`BYTES`], the
/// number of random bytes that a case gets.
const SEEDS: std::ops::Range<u64> = 0x71e3_1000..0x71e3_1200;
const BYTES: u64 = 0x400;
/// Number of entries in the log.
const ENTRY_COUNT: u64 = 40;
const STEPS: u32 = 80;

fn check(mut property: impl FnMut(&mut Unstructured<'_>) -> arbitrary::Result<()>) {
    for seed in SEEDS {
        arbtest(&mut property).seed(seed << 32 | BYTES).run();
    }
}

fn instance(number: u64) -> Instance {
    Instance::try_from(format!("worker-{number}").as_str()).unwrap()
}

fn endpoint(number: u64, incarnation: u64) -> EndpointRecord {
    let place = Place {
        region: Region::try_from("r").unwrap(),
        center: Center::try_from("c").unwrap(),
        rack: Rack::try_from("k").unwrap(),
        instance: instance(number),
    };
    let capacity = Capacity { slots: 1, connections: 1, cores: 1, memory: 1, accels: 0 };
    EndpointRecord {
        place,
        incarnation,
        nonce: incarnation,
        address: "127.0.0.1:1".parse().unwrap(),
        services: Vec::new(),
        capacity,
        presence: Presence::Up,
    }
}

fn service(number: u64, revision: u64) -> ServiceSpec {
    let text = format!(
        "[service]\nname = desk-{number}\n[kind check]\nmode = request\ndeadline = {revision}s\n"
    );
    bronzespool_core::settings::parse_service("service.ini", &text).unwrap()
}

/// A log of random changes, and the view after each entry.
struct RandomLog {
    log: DeltaLog,
    views: Vec<View>,
}

impl RandomLog {
    fn random(u: &mut Unstructured<'_>) -> arbitrary::Result<Self> {
        let mut random = Self { log: DeltaLog::after(0), views: vec![View::default()] };
        for index in 1..=ENTRY_COUNT {
            let update = random.random_update(u, index)?;
            let mut view = random.views.last().unwrap().clone();
            if let Some(update) = update {
                random.log.push(index, update.clone());
                view.apply(Delta { from: view.index, to: index, updates: vec![update] }).unwrap();
            }
            view.index = index;
            random.views.push(view);
        }
        Ok(random)
    }

    fn random_update(
        &self,
        u: &mut Unstructured<'_>,
        index: u64,
    ) -> arbitrary::Result<Option<ViewUpdate>> {
        let number = u.int_in_range(0..=3)?;
        Ok(match u.int_in_range(0..=5)? {
            0 | 1 => {
                let revision = self.views.last().unwrap().config.revision + 1;
                let removed = vec![Service::try_from(format!("desk-{}", 3 - number).as_str())];
                let removed = removed.into_iter().map(Result::unwrap).collect();
                Some(ViewUpdate::Config {
                    revision,
                    services: vec![service(number, index)],
                    removed,
                })
            }
            2 => Some(ViewUpdate::Endpoint(Box::new(endpoint(number, index)))),
            3 => Some(ViewUpdate::EndpointRemoved(instance(number))),
            4 => {
                let center = Center::try_from(format!("c-{number}").as_str()).unwrap();
                Some(ViewUpdate::CenterChanged { center, drained: u.ratio(1, 2)? })
            }
            _ => None,
        })
    }
}

#[test]
fn apply_never_goes_back() {
    check(|u| {
        let random = RandomLog::random(u)?;
        let mut view = View::default();
        for _ in 0..STEPS {
            let before = (view.index, view.config.revision);
            let from = u.int_in_range(0..=ENTRY_COUNT)?;
            let to = u.int_in_range(from..=ENTRY_COUNT)?;
            if u.ratio(1, 10)? {
                let replaced = view.replace(random.views[from as usize].clone());
                assert_eq!(replaced, from >= before.0);
            } else {
                let delta = random.log.delta(from, to, false).unwrap();
                let result = view.apply(delta);
                let gap = to > before.0 && from > before.0;
                let wanted = if gap { Err(Error::Gap { from, index: before.0 }) } else { Ok(()) };
                assert_eq!(result, wanted);
            }
            let after = (view.index, view.config.revision);
            assert!(after.0 >= before.0 && after.1 >= before.1, "{before:?} to {after:?}");
            assert_eq!(view, random.views[view.index as usize]);
        }
        Ok(())
    });
}

#[test]
fn replace_older_refused() {
    let mut view = View { index: 5, ..View::default() };
    assert!(!view.replace(View { index: 4, ..View::default() }));
    let mut newer = View { index: 6, ..View::default() };
    newer.config.revision = 2;
    assert!(view.replace(newer));
    assert!(!view.replace(View { index: 7, ..View::default() }), "a lower revision");
    assert_eq!((view.index, view.config.revision), (6, 2));
}

#[test]
fn delta_of_dropped_updates_is_refused() {
    let mut log = DeltaLog::after(10);
    assert!(log.delta(9, 10, false).is_none());
    for index in 11..=2_000 {
        log.push(index, ViewUpdate::EndpointRemoved(instance(index)));
    }
    let oldest = (10..=2_000).find(|from| log.delta(*from, 2_000, false).is_some()).unwrap();
    assert!(oldest > 10, "the log keeps all updates");
    let delta = log.delta(oldest, 2_000, false).unwrap();
    assert_eq!(delta.updates.len() as u64, 2_000 - oldest);
    assert!(log.delta(oldest, 2_000, true).unwrap().updates.is_empty());
}
