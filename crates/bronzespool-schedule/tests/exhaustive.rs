//! Compares the scheduler with brute-force packing for every small topology, set of guarantees and
//! pair of jobs.

mod common;

use {
    bronzespool_core::{Capacity, Level, Place, Shape, Team},
    bronzespool_schedule::{Event, JobPhase, JobSpec, PolicySettings, SchedulerState, admit, pack},
    common::{Simulation, job, team},
    std::collections::BTreeSet,
};

/// Number of accelerators of each worker, rack by rack.
type Topology = Vec<Vec<u32>>;

fn racks() -> Vec<Vec<u32>> {
    let sizes = [1, 2, 4];
    let mut all: Vec<Vec<u32>> = sizes.iter().map(|&a| vec![a]).collect();
    for (i, &a) in sizes.iter().enumerate() {
        all.extend(sizes[i..].iter().map(|&b| vec![a, b]));
    }
    all
}

/// One or two racks of one or two workers, with up to `limit` accelerators.
fn topologies(limit: u32) -> Vec<Topology> {
    let racks = racks();
    let mut all: Vec<Topology> = racks.iter().map(|r| vec![r.clone()]).collect();
    for (i, a) in racks.iter().enumerate() {
        all.extend(racks[i..].iter().map(|b| vec![a.clone(), b.clone()]));
    }
    all.retain(|t| t.iter().flatten().sum::<u32>() <= limit);
    all
}

const LEVELS: [Level; 5] =
    [Level::Block(0), Level::Block(1), Level::Block(2), Level::Worker, Level::Rack];

/// Multisets of one to `limit` levels.
fn sets(limit: usize) -> Vec<Vec<Level>> {
    let mut all: Vec<Vec<Level>> = LEVELS.iter().map(|&l| vec![l]).collect();
    let mut last = all.clone();
    for _ in 1..limit {
        let mut next = Vec::new();
        for set in &last {
            for &level in LEVELS.iter().filter(|l| *l >= set.last().unwrap()) {
                next.push([set.as_slice(), &[level]].concat());
            }
        }
        all.extend(next.iter().cloned());
        last = next;
    }
    all
}

/// Accelerators of all workers as bits of one mask, rack by rack. A worker is given by its first
/// bit and its number of accelerators.
struct AccelBits {
    racks: Vec<Vec<(u32, u32)>>,
}

impl AccelBits {
    fn of(topology: &Topology) -> Self {
        let mut next = 0;
        let mut rack = |workers: &Vec<u32>| {
            let mut place = |&accels: &u32| {
                next += accels;
                (next - accels, accels)
            };
            workers.iter().map(&mut place).collect()
        };
        Self { racks: topology.iter().map(&mut rack).collect() }
    }

    fn all(&self) -> u32 {
        self.racks.iter().flatten().map(|&(first, n)| mask(first, n)).sum()
    }

    fn worker(&self, name: &str) -> (u32, u32) {
        let (r, w) = name[1..].split_once('w').unwrap();
        self.racks[r.parse::<usize>().unwrap()][w.parse::<usize>().unwrap()]
    }

    /// Masks of all places for a cell of `level`.
    fn places(&self, level: Level) -> Vec<u32> {
        match level {
            Level::Block(order) => {
                let size = 1 << order;
                let starts = |&(first, n): &(u32, u32)| {
                    (0..n / size).map(move |i| mask(first + i * size, size)).collect::<Vec<_>>()
                };
                self.racks.iter().flatten().flat_map(starts).collect()
            }
            Level::Worker => self.racks.iter().flatten().map(|&(f, n)| mask(f, n)).collect(),
            _ => self.racks.iter().map(|r| r.iter().map(|&(f, n)| mask(f, n)).sum()).collect(),
        }
    }

    /// Whether there are disjoint places in `free` for cells of all `levels`. Tries every place.
    fn packs(&self, levels: &[Level], free: u32) -> bool {
        let Some((&level, rest)) = levels.split_last() else {
            return true;
        };
        let places = self.places(level);
        places.into_iter().any(|place| place & !free == 0 && self.packs(rest, free & !place))
    }

    /// Whether `members` blocks of `accels` accelerators can be placed within one domain of level
    /// `adjacent`.
    fn holds(&self, members: u32, accels: u32, adjacent: Level) -> bool {
        let scopes = match adjacent {
            Level::Region => vec![self.all()],
            level => self.places(level),
        };
        let blocks = vec![Level::block(accels).unwrap(); members as usize];
        scopes.into_iter().any(|scope| self.packs(&blocks, scope))
    }
}

fn mask(first: u32, count: u32) -> u32 {
    ((1 << count) - 1) << first
}

fn one_cell_each(levels: &[Level]) -> Vec<(Team, Vec<Shape>)> {
    let each = |(i, &level): (usize, &Level)| (team(&format!("t{i}")), vec![Shape::new(level, 1)]);
    levels.iter().enumerate().map(each).collect()
}

fn places(topology: &Topology) -> Vec<(Place, Capacity)> {
    let mut all = Vec::new();
    for (r, workers) in topology.iter().enumerate() {
        for (w, &accels) in workers.iter().enumerate() {
            let place = Place {
                region: "trinidad".try_into().unwrap(),
                center: "couva".try_into().unwrap(),
                rack: format!("r{r}").try_into().unwrap(),
                instance: format!("r{r}w{w}").try_into().unwrap(),
            };
            all.push((place, Capacity { accels, cores: 8, memory: 8, ..Capacity::default() }));
        }
    }
    all
}

#[test]
fn pack_small_agrees_with_brute_force() {
    let mut fits = 0;
    let mut conflicts = 0;
    for topology in topologies(16) {
        let bits = AccelBits::of(&topology);
        for levels in sets(4) {
            let expected = bits.packs(&levels, bits.all());
            let found = pack(&places(&topology), &one_cell_each(&levels), None);
            assert_eq!(found.is_ok(), expected, "{topology:?} {levels:?} {found:?}");
            if expected { fits += 1 } else { conflicts += 1 }
        }
    }
    assert!(fits > 1_000 && conflicts > 1_000, "{fits} {conflicts}");
}

/// Mask of the allocated and reserved cells of the jobs that `select` accepts, given their
/// specification and whether they borrow.
fn held(state: &SchedulerState, bits: &AccelBits, select: impl Fn(&JobSpec, bool) -> bool) -> u32 {
    let mut all = 0;
    for job in state.jobs() {
        let (cells, borrowed) = match &job.phase {
            JobPhase::Active(attempt) => (&attempt.cells, attempt.borrowed),
            JobPhase::Reserved { cells, borrowed, .. } => (cells, *borrowed),
            _ => continue,
        };
        for cell in cells.iter().filter(|_| select(&job.spec, borrowed)) {
            let (first, _) = bits.worker(cell.instance.as_str());
            all |= mask(first + cell.first, cell.accels);
        }
    }
    all
}

/// Checks the invariant: all guaranteed cells that are not bound can be packed into accelerators
/// that are free or used by preemptible work, and a bound cell remains available to its team as a
/// whole, without work on the guarantee of another team.
fn check(state: &SchedulerState, bits: &AccelBits, context: &dyn Fn() -> String) {
    let mut bound = 0;
    let mut unused = Vec::new();
    for (name, guarantee) in state.teams() {
        for binding in &guarantee.bindings {
            let (first, accels) = bits.worker(binding.instance.as_str());
            let place = match binding.level {
                Level::Block(order) => mask(first + binding.first, 1 << order),
                Level::Worker => mask(first, accels),
                level => {
                    let racks = bits.places(level);
                    racks.into_iter().find(|r| r & mask(first, accels) != 0).unwrap()
                }
            };
            assert_eq!(bound & place, 0, "cells of two guarantees overlap: {}", context());
            bound |= place;
            let fixed = held(state, bits, |s, borrowed| !borrowed && s.team != *name);
            assert_eq!(place & fixed, 0, "work on another guarantee uses the cell: {}", context());
        }
        for &level in guarantee.shapes.keys() {
            unused.extend(vec![level; guarantee.unbound(level) as usize]);
        }
    }
    unused.sort_unstable();
    let fixed = held(state, bits, |spec, borrowed| !borrowed || !spec.preemptible());
    assert_eq!(fixed & !bound, 0, "non-preemptible work outside a guarantee: {}", context());
    assert!(bits.packs(&unused, bits.all() & !bound), "{unused:?} do not pack: {}", context());
}

fn job_kinds(teams: usize) -> Vec<JobSpec> {
    let mut all = Vec::new();
    for t in 0..teams {
        for (members, accels) in [(1, 1), (1, 2), (1, 4), (2, 1), (2, 2)] {
            for restartable in [true, false] {
                let spec = job("j", &format!("t{t}"), members, accels, Level::Region);
                all.push(spec.restartable(restartable));
            }
        }
    }
    all
}

/// Whether the job is admitted. This must be so exactly if some place holds the gang and, for a job
/// that may not be interrupted, some place of its team's only cell holds it while all other
/// guarantees can be packed.
fn is_admitted(state: &SchedulerState, spec: &JobSpec, bits: &AccelBits) -> bool {
    let admitted = admit(state, spec).is_ok();
    let possible = bits.holds(spec.members, spec.need.accels, spec.adjacent);
    assert!(!admitted || possible, "admitted though infeasible: {spec:?}");
    if spec.preemptible() {
        assert_eq!(admitted, possible, "refused though feasible: {spec:?}");
        return admitted;
    }
    let mut others = Vec::new();
    for (name, guarantee) in state.teams().iter().filter(|(name, _)| **name != spec.team) {
        assert_eq!(guarantee.shapes.values().sum::<u32>(), 1, "{name} has one cell");
        others.extend(guarantee.shapes.keys().copied());
    }
    others.sort_unstable();
    let level = *state.teams()[&spec.team].shapes.keys().next().unwrap();
    let blocks = vec![Level::block(spec.need.accels).unwrap(); spec.members as usize];
    let guaranteed = bits
        .places(level)
        .into_iter()
        .any(|place| bits.packs(&blocks, place) && bits.packs(&others, bits.all() & !place));
    assert_eq!(admitted, guaranteed, "{spec:?} in {:?}", state.teams());
    admitted
}

/// Submits the jobs one by one, applies all decisions and checks the invariant after every record.
fn run_jobs(
    sim: &mut Simulation,
    bits: &AccelBits,
    jobs: &[&JobSpec],
    context: &dyn Fn() -> String,
) {
    for (i, spec) in jobs.iter().enumerate() {
        let mut spec = (*spec).clone();
        spec.job = format!("j{i}").try_into().unwrap();
        sim.record(Event::Submitted(spec));
        loop {
            let records = sim.planner.decide(&sim.state, sim.now);
            if records.is_empty() {
                break;
            }
            for record in records {
                sim.state.apply(&record).unwrap();
                check(&sim.state, bits, context);
            }
        }
    }
}

#[test]
fn decide_small_keeps_guarantees_reclaimable() {
    let mut cases = 0;
    for topology in topologies(6) {
        let bits = AccelBits::of(&topology);
        for levels in sets(2) {
            if !bits.packs(&levels, bits.all()) {
                continue;
            }
            let racks: Vec<&[u32]> = topology.iter().map(Vec::as_slice).collect();
            let mut base = Simulation::racks(PolicySettings::default(), &racks);
            base.record(Event::Guarantees(one_cell_each(&levels)));
            let mut kinds = job_kinds(levels.len());
            kinds.retain(|spec| is_admitted(&base.state, spec, &bits));
            for (i, a) in kinds.iter().enumerate() {
                for b in &kinds[i..] {
                    let context = || format!("{topology:?} {levels:?} {a:?} {b:?}");
                    let mut sim = Simulation::new(PolicySettings::default());
                    sim.state = base.state.clone();
                    run_jobs(&mut sim, &bits, &[a, b], &context);
                    claim_all(&mut sim, &bits, &levels, &context);
                    cases += 1;
                }
            }
        }
    }
    assert!(cases > 10_000, "{cases}");
}

/// Every team without bound cells claims its whole guarantee with a job that may not be
/// interrupted. The job must get its cells whatever else is running, unless older jobs of the team
/// take them.
fn claim_all(
    sim: &mut Simulation,
    bits: &AccelBits,
    levels: &[Level],
    context: &dyn Fn() -> String,
) {
    let using: BTreeSet<Team> = sim
        .state
        .teams()
        .iter()
        .filter(|(_, t)| !t.bindings.is_empty())
        .map(|(n, _)| n.clone())
        .collect();
    let mut claims = Vec::new();
    for (i, &level) in levels.iter().enumerate() {
        let Level::Block(order) = level else {
            continue;
        };
        let name = format!("t{i}");
        if using.contains(&team(&name)) {
            continue;
        }
        let claim = format!("claim{i}");
        sim.record(Event::Submitted(
            job(&claim, &name, 1, 1 << order, Level::Region).restartable(false),
        ));
        claims.push(claim);
    }
    sim.decide_all();
    check(&sim.state, bits, context);
    let own = |t: &str| !sim.state.teams()[&team(t)].bindings.is_empty();
    claims.retain(|claim| {
        let name = claim.replace("claim", "t");
        assert!(!sim.is_waiting(claim) || own(&name), "{claim} waits: {}", context());
        !sim.is_waiting(claim)
    });
    for _ in 0..10 {
        sim.advance_to_wake();
        sim.decide_all();
    }
    for claim in claims {
        let held = matches!(sim.phase(&claim), JobPhase::Active(a) if !a.borrowed)
            || sim.state.job(&claim.as_str().try_into().unwrap()).unwrap().attempts > 0;
        assert!(held, "{claim} never held its cells: {}", context());
    }
}
