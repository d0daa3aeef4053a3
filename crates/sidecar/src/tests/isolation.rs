//! The right to run in isolation is passed on, whoever leaves while waiting for it.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::quarantine::IsolationGate;

#[test]
fn the_right_is_not_lost_with_a_request_that_leaves_as_it_is_granted() {
    http_edge::block_on(async {
        let gate = Rc::new(IsolationGate::default());
        let deadline = Instant::now() + Duration::from_secs(5);
        let first = gate.enter(deadline).await.expect("the gate is free");
        {
            let mut left = std::pin::pin!(gate.enter(deadline));
            let pause = monoio::time::sleep(Duration::from_millis(20));
            monoio::select! {
                _ = &mut left => panic!("the right is taken"),
                () = pause => {}
            }
            drop(first);
            // Granted, but it leaves before it runs on.
        }
        let soon = Instant::now() + Duration::from_millis(200);
        assert!(gate.enter(soon).await.is_some(), "the right is lost");
    });
}
