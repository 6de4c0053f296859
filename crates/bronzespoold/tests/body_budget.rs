//! Budget of the bytes that large bodies take: who gets room, and who gives it up.

use {
    bronzespoold::http::BodyBudget,
    std::{cell::RefCell, rc::Rc},
    tokio::task::{LocalSet, spawn_local, yield_now},
};

/// Bytes of the budget; each byte of a body counts as four.
const TOTAL: usize = 4_000;

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.unwrap().block_on(LocalSet::new().run_until(test));
}

#[test]
fn take_more_than_there_is_gets_all() {
    run(async {
        let budget = BodyBudget::new(TOTAL);
        let room = budget.take(u64::MAX).await;
        assert!(room.is_some());
        assert_eq!(budget.used(), TOTAL);
        drop(room);
        assert_eq!(budget.used(), 0);
    });
}

#[test]
fn take_without_room_ends_after_a_time() {
    run(async {
        let budget = BodyBudget::new(TOTAL);
        let held = budget.take(1_000).await;
        assert!(budget.take(1).await.is_none());
        drop(held);
        assert!(budget.take(1).await.is_some(), "one that waits no more holds no room");
    });
}

#[test]
fn take_smallest_that_waits_is_next() {
    run(async {
        let budget = BodyBudget::new(TOTAL);
        let held = budget.take(1_000).await;
        let order = Rc::new(RefCell::new(Vec::new()));
        let tasks: Vec<_> = [900, 300, 600]
            .into_iter()
            .map(|length| {
                let (budget, order) = (Rc::clone(&budget), Rc::clone(&order));
                spawn_local(async move {
                    let _room = budget.take(length).await;
                    order.borrow_mut().push(length);
                })
            })
            .collect();
        yield_now().await;
        drop(held);
        for task in tasks {
            task.await.unwrap();
        }
        assert_eq!(*order.borrow(), [300, 600, 900]);
        assert_eq!(budget.used(), 0);
    });
}
