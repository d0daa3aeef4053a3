//! Tests of the latch.

use std::time::Duration;

use crate::Latch;
use crate::block_on;

/// Starts a task that waits for the latch and gives up.
async fn wait_and_give_up(latch: &Latch) {
    let latch = latch.clone();
    let task = async move {
        monoio::select! {
            () = latch.wait() => {}
            () = monoio::time::sleep(Duration::from_millis(1)) => {}
        }
    };
    monoio::spawn(task).await;
}

/// Review case 1: the latch kept the waker, and so the memory, of each task that had waited for it, and each
/// connection that was closed again took some 7 kB for good.
#[test]
fn a_task_that_no_longer_waits_is_not_kept() {
    block_on(async {
        let latch = Latch::default();
        for _ in 0..100 {
            wait_and_give_up(&latch).await;
        }
        assert_eq!(latch.waiting(), 0);
    });
}

#[test]
fn all_that_wait_are_woken() {
    block_on(async {
        let latch = Latch::default();
        let waiting: Vec<_> = (0..3)
            .map(|_| {
                let latch = latch.clone();
                monoio::spawn(async move { latch.wait().await })
            })
            .collect();
        wait_and_give_up(&latch).await;
        assert_eq!(latch.waiting(), 3);
        latch.set();
        for task in waiting {
            task.await;
        }
        latch.wait().await;
        assert_eq!(latch.waiting(), 0);
    });
}
