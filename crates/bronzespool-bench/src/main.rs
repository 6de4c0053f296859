//! Command line of the measurements.

use bronzespool_bench::{
    decisions::{Driver, Scale, Stream},
    policies::{Backfill, Fifo, Oracle},
};

fn main() {
    for scale in Scale::ALL {
        for stream in Stream::ALL {
            let s = stream.scenario(scale, 1, 48);
            let t = std::time::Instant::now();
            let f = [
                Driver::new(&s).run(&mut Fifo::new(&s.cluster)),
                Driver::new(&s).run(&mut Backfill::new(&s.cluster)),
                Driver::new(&s).run(&mut Oracle::new(&s.cluster)),
            ];
            println!("{} {} jobs {} {:?}", scale.name(), stream.name(), s.jobs.len(), t.elapsed());
            for f in f {
                println!(
                    "  {:15} mean {:8.0} p99 {:8.0} unf {} frag {:.3} unus {:.1} util {:.3} gangw {:.0} due {} {:.1}/{:.0} broken {} pre {} lost {:.0} inv {} gv {} drop {}",
                    f.policy,
                    f.completion.mean,
                    f.completion.p99,
                    f.unfinished,
                    f.fragmentation,
                    f.unusable,
                    f.utilisation,
                    f.gang_wait,
                    f.due.count,
                    f.due.p99,
                    f.due.max,
                    f.broken,
                    f.preemptions,
                    f.lost,
                    f.invalid,
                    f.gang_violations,
                    f.dropped
                );
            }
        }
    }
}
