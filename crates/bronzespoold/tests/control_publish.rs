//! Publications while the leader is killed, and concurrent publications by two operators.

mod common;

use {
    bronzespool_fakes::cluster::{Cluster, Result, Signal, send_signal},
    common::{
        CONFLICT, DONE, leader, plan, publish, publish_with_retry, revision, status,
        wait_replicated, with_monotone_revision,
    },
    std::time::Duration,
    tokio::time::sleep,
};

/// Rounds in which the leader is killed during a publication.
const KILLS: u64 = 6;
/// Microseconds by which the kill is delayed more in each round, so that it falls before, into and
/// after the commit.
const KILL_STEP_US: u64 = 1_500;
/// Rounds of concurrent publications by two operators.
const RACES: u64 = 12;

/// Every resend gets the first answer, after the leader was killed during the operation and after
/// all control instances were killed at once.
#[tokio::test]
async fn publish_leader_killed() -> Result<()> {
    let mut cluster = Cluster::start(plan(1)).await?;
    let entries = cluster.entries().to_vec();
    let scenario = async {
        let first = publish_with_retry(&cluster, Some(0), "op-0", &["check"], true).await;
        let mut last = revision(&first);
        for round in 1..=KILLS {
            let op = format!("op-{round}");
            let name = leader(&cluster).await;
            let id = cluster.id(&name);
            let (_, answer) = tokio::join!(
                async {
                    sleep(Duration::from_micros(KILL_STEP_US * (round - 1))).await;
                    send_signal(id, Signal::KILL).unwrap();
                },
                publish_with_retry(&cluster, Some(last), &op, &["check"], false)
            );
            assert_eq!(revision(&answer), last + 1, "{op} was applied twice or lost");
            last += 1;
            let again = publish_with_retry(&cluster, Some(last - 1), &op, &["check"], false).await;
            assert_eq!(revision(&again), last, "a resend of {op} was answered otherwise");
            cluster.process(&name).kill().unwrap();
            cluster.process(&name).restart().unwrap();
            wait_replicated(&cluster).await;
        }
        restart_all_controls(&mut cluster).unwrap();
        for round in 1..=KILLS {
            let op = format!("op-{round}");
            let again = publish_with_retry(&cluster, Some(round), &op, &["check"], false).await;
            assert_eq!(revision(&again), round + 1, "a resend of {op} after the restart");
        }
        assert_eq!(status(&cluster).await["revision"], last);
    };
    with_monotone_revision(&entries, scenario).await;
    Ok(())
}

/// Of two operators with the same base revision exactly one succeeds. The other one is told which
/// operation won, and resends of both get the same answers.
#[tokio::test]
async fn publish_operators_race() -> Result<()> {
    let cluster = Cluster::start(plan(1)).await?;
    for base in 0..RACES {
        let ops = [format!("left-{base}"), format!("right-{base}")];
        let (left, right) = tokio::join!(
            publish(&cluster, 0, Some(base), &ops[0], &["check"], false),
            publish(&cluster, 1, Some(base), &ops[1], &["check", "audit"], false)
        );
        let answers = [left?, right?];
        let codes = [answers[0].code(), answers[1].code()];
        let winner = usize::from(codes[0] != DONE);
        let loser = 1 - winner;
        assert_eq!((codes[winner], codes[loser]), (DONE, CONFLICT), "base {base}");
        assert_eq!(revision(&answers[winner]), base + 1);
        let message = answers[loser].json().to_string();
        assert!(message.contains(&ops[winner]), "{message} names no {}", ops[winner]);
        assert!(message.contains(&format!("revision {}", base + 1)), "{message}");
        let left = publish_with_retry(&cluster, Some(base), &ops[0], &["check"], false).await;
        let right =
            publish_with_retry(&cluster, Some(base), &ops[1], &["check", "audit"], false).await;
        assert_eq!([left.code(), right.code()], codes, "a resend was answered otherwise");
        assert_eq!(revision([&left, &right][winner]), base + 1);
    }
    Ok(())
}

fn restart_all_controls(cluster: &mut Cluster) -> Result<()> {
    let names: Vec<_> = cluster.controls().iter().map(|(name, _)| name.clone()).collect();
    for name in &names {
        send_signal(cluster.id(name), Signal::KILL)?;
    }
    for name in &names {
        cluster.process(name).kill()?;
        cluster.process(name).restart()?;
    }
    Ok(())
}
