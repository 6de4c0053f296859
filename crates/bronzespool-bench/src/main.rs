//! Command line of the benchmarks.

use {
    bronzespool_bench::{
        capacity, decision_time,
        decisions::{Scale, Stream},
        report, run_times, size, suite,
    },
    pico_args::Arguments,
    std::{fs, path::PathBuf, process::ExitCode, time::Duration},
};

const HELP: &str = "\
bronzespool-bench decisions [--out DIR] [--seed N] [--hours N] [--scale NAME,…] [--stream NAME]
    simulates all policies on all deployments and streams in virtual time and, with --out, writes
    decisions.md, decisions.json and SVG plots into DIR
bronzespool-bench decision-time [--events N] [--factors 1,10] [--fill HOURS]
    times decisions at multiples of the two-year size, filled with the jobs of HOURS hours
bronzespool-bench capacity [--results FILE] [--page FILE]
    measures the bytes of each operation with the production encoders and writes them into the
    results file and into the table of the page; docs/measurements/capacity.json and
    docs/CAPACITY.md by default
bronzespool-bench size --workers N [--seed N] [--load FACTOR] [--plan-millis N]
    plays the stream of jobs of steps on N workers in virtual time and prints what the placement
    rules make of it; a plan takes 20 ms of virtual time by default
bronzespool-bench plan-time [--workers 240,890] [--teams 24,350] [--waiting 2000] [--rounds 100]
                            [--seed N]
    times plans after small changes of a full cluster in front of which jobs wait, and prints a hash
    of all decisions, by which two versions of the planner can be compared
bronzespool-bench size [--sizes 30,100,300] [--seed N] [--results FILE] [--page FILE]
    fits the growth of all counts over the sizes, and writes it with the decisions for 240 workers
    into the results file and the page; docs/measurements/size.json and docs/measurements/size.md
    by default
bronzespool-bench run-times [--seeds 1,2,3] [--page FILE]
    plays one stream with declared, learned and true run times and speeds, prints what came of it
    and writes it into the page; docs/measurements/run-times.md by default
bronzespool-bench fit-time [--workers 64,890] [--rounds 100]
    times fits of run times and speeds with 16 runs on each worker
";

type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<()> {
    let mut args = Arguments::from_env();
    match args.subcommand()?.as_deref() {
        Some("decisions") => run_decisions(args),
        Some("decision-time") => run_decision_time(args),
        Some("capacity") => run_capacity(args),
        Some("plan-time") => run_plan_time(args),
        Some("size") => run_size(args),
        Some("run-times") => run_run_times(args),
        Some("fit-time") => run_fit_time(args),
        _ => {
            print!("{HELP}");
            Ok(())
        }
    }
}

fn parse_scales(text: &str) -> std::result::Result<Vec<Scale>, String> {
    let find = |part: &str| {
        let found = Scale::ALL.into_iter().find(|s| s.name() == part);
        found.ok_or_else(|| format!("unknown deployment {part}"))
    };
    text.split(',').map(find).collect()
}

fn parse_stream(text: &str) -> std::result::Result<Stream, String> {
    let found = Stream::ALL.into_iter().find(|s| s.name() == text);
    found.ok_or_else(|| format!("unknown stream {text}"))
}

fn run_decisions(mut args: Arguments) -> Result<()> {
    let out: Option<PathBuf> = args.opt_value_from_str("--out")?;
    let seed = args.opt_value_from_str("--seed")?.unwrap_or(suite::SEED);
    let hours = args.opt_value_from_str("--hours")?.unwrap_or(suite::HOURS);
    let scales = args.opt_value_from_fn("--scale", parse_scales)?.unwrap_or(Scale::ALL.to_vec());
    let streams =
        args.opt_value_from_fn("--stream", parse_stream)?.map_or(Stream::ALL.to_vec(), |s| vec![s]);
    let runs = suite::run(&scales, &streams, seed, hours);
    match out {
        Some(dir) => report::write(&dir, &runs, seed, hours)?,
        None => print!("{}", report::table(&runs)),
    }
    Ok(())
}

fn run_capacity(mut args: Arguments) -> Result<()> {
    let file = |text: Option<PathBuf>, default: &str| text.unwrap_or_else(|| default.into());
    let results = file(args.opt_value_from_str("--results")?, "docs/measurements/capacity.json");
    let page = file(args.opt_value_from_str("--page")?, "docs/CAPACITY.md");
    let measured = capacity::measure();
    fs::write(results, serde_json::to_string_pretty(&measured)? + "\n")?;
    let text = fs::read_to_string(&page)?;
    let text =
        capacity::insert(&text, &measured).ok_or("the page lacks the marker lines of the table")?;
    fs::write(page, text)?;
    print!("{}", capacity::table(&measured));
    Ok(())
}

fn run_size(mut args: Arguments) -> Result<()> {
    let seed = args.opt_value_from_str("--seed")?.unwrap_or(suite::SEED);
    if let Some(workers) = args.opt_value_from_str("--workers")? {
        let load = args.opt_value_from_str("--load")?.unwrap_or(1.0);
        let default = size::Options::new(workers, seed);
        let plan_millis = args.opt_value_from_str("--plan-millis")?;
        let plan_time = plan_millis.map_or(default.plan_time, Duration::from_millis);
        let played = size::run(&size::Options { load, plan_time, ..default });
        print!("{}", size::decision_table(&played.decisions));
        let (count, secs) = (played.plan_count, played.plan_time.as_secs_f64());
        println!("\n{count} plans took {secs:.2} s of wall time");
        return Ok(());
    }
    let file = |text: Option<PathBuf>, default: &str| text.unwrap_or_else(|| default.into());
    let results = file(args.opt_value_from_str("--results")?, "docs/measurements/size.json");
    let page = file(args.opt_value_from_str("--page")?, "docs/measurements/size.md");
    let sizes: String =
        args.opt_value_from_str("--sizes")?.unwrap_or_else(|| "30,100,300".to_owned());
    let sizes: Vec<usize> =
        sizes.split(',').map(str::parse).collect::<std::result::Result<_, _>>()?;
    let measured = size::measure(&sizes, size::WORKERS, seed);
    fs::write(results, serde_json::to_string_pretty(&measured)? + "\n")?;
    let text = fs::read_to_string(&page)?;
    let text =
        size::insert(&text, &measured).ok_or("the page lacks the marker lines of the tables")?;
    fs::write(page, text)?;
    print!("{}\n{}", size::growth_table(&measured), size::decision_table(&measured.decisions));
    Ok(())
}

fn run_run_times(mut args: Arguments) -> Result<()> {
    let page: Option<PathBuf> = args.opt_value_from_str("--page")?;
    let page = page.unwrap_or_else(|| "docs/measurements/run-times.md".into());
    let seeds = args.opt_value_from_fn("--seeds", parse_numbers)?;
    let seeds = seeds.unwrap_or_else(|| run_times::SEEDS.to_vec());
    let compare = |deployment| (deployment, run_times::compare(deployment, &seeds));
    let results: Vec<_> = run_times::Deployment::ALL.into_iter().map(compare).collect();
    let table = run_times::table(&results);
    let text = run_times::insert(&fs::read_to_string(&page)?, &table);
    fs::write(page, text.ok_or("the page lacks the marker lines of the table")?)?;
    print!("{table}");
    Ok(())
}

fn run_fit_time(mut args: Arguments) -> Result<()> {
    let workers = args.opt_value_from_fn("--workers", parse_numbers)?.unwrap_or(vec![64, 890]);
    let rounds = args.opt_value_from_str("--rounds")?.unwrap_or(100);
    println!("{}", run_times::FitTimes::HEAD);
    workers.into_iter().for_each(|n| println!("{}", run_times::fit_times(n as usize, rounds)));
    Ok(())
}

fn parse_numbers(text: &str) -> std::result::Result<Vec<u64>, std::num::ParseIntError> {
    text.split(',').map(str::parse).collect()
}

fn run_plan_time(mut args: Arguments) -> Result<()> {
    let numbers = |text: Option<String>, default: &str| {
        let text = text.unwrap_or_else(|| default.to_owned());
        text.split(',').map(str::parse).collect::<std::result::Result<Vec<usize>, _>>()
    };
    let workers = numbers(args.opt_value_from_str("--workers")?, "240,890")?;
    let teams = numbers(args.opt_value_from_str("--teams")?, "24,350")?;
    let waiting = args.opt_value_from_str("--waiting")?.unwrap_or(2_000);
    let rounds = args.opt_value_from_str("--rounds")?.unwrap_or(100);
    let seed = args.opt_value_from_str("--seed")?.unwrap_or(suite::SEED);
    println!("{}", size::PlanTimes::HEAD);
    for workers in workers {
        for teams in &teams {
            let backlog = size::Backlog { workers, teams: *teams, waiting, rounds, seed };
            print!("{}", size::plan_times(&backlog));
        }
    }
    Ok(())
}

fn run_decision_time(mut args: Arguments) -> Result<()> {
    let events = args.opt_value_from_str("--events")?.unwrap_or(1_000);
    let hours = args.opt_value_from_str("--fill")?.unwrap_or(decision_time::FILL_HOURS);
    let factors: String = args.opt_value_from_str("--factors")?.unwrap_or_else(|| "1,10".into());
    let mut sizes = Vec::new();
    for factor in factors.split(',') {
        sizes.push(decision_time::measure(factor.parse()?, events, hours));
    }
    print!("{}", decision_time::table(&sizes));
    Ok(())
}
