//! Evidence of more routes than one message holds.

use std::time::Duration;
use std::time::Instant;

use protocol::codec;

use crate::canary::CanaryAnalysis;
use crate::canary::Verdict;
use crate::config::RouteName;
use crate::evidence::Evidence;
use crate::evidence::EvidencePages;
use crate::evidence::RouteStats;
use crate::tests::canary::evidence;

/// Space in a datagram beside the member record, the claim and a move with its routes.
const MAX_BYTES: usize = 750;

fn counted(answers: u32, failures: u32) -> RouteStats {
    let mut stats = RouteStats::default();
    for answer in 0..answers {
        stats.record_answer(Duration::from_millis(90), answer < failures);
    }
    stats
}

fn name(route: u32) -> RouteName {
    format!("route-{route:03}").into()
}

/// Evidence of routes with these answers and failures.
fn of_routes(routes: &[(u32, u32)]) -> Evidence {
    let named = (0..).zip(routes);
    Evidence {
        routes: named
            .map(|(route, (answers, failures))| (name(route), counted(*answers, *failures)))
            .collect(),
        ..evidence("v2", &[])
    }
}

fn holds(page: &Evidence, route: u32) -> bool {
    page.route_stats(&name(route)).is_some()
}

#[test]
fn routes_that_fit_one_message_are_all_in_each() {
    let mut pages = EvidencePages::default();
    let all = of_routes(&[(100, 3), (5, 0), (40, 0), (1, 1)]);
    for _ in 0..3 {
        let mut page = pages.next_page(all.clone());
        page.routes.sort_by(|a, b| a.0.cmp(&b.0));
        assert_eq!(page, all);
    }
}

/// Guards against messages that are cut, or leave the evidence out, as names are long.
#[test]
fn a_message_stays_within_its_size_whatever_the_names() {
    for length in [1, 12, 64] {
        let mut all = of_routes(&[(3_000_000, 1_000_000); 1]);
        let stats = all.routes.pop().unwrap().1;
        for route in 0..300 {
            let route = format!("{route:0length$}").into();
            all.routes.push((route, stats.clone()));
        }
        let mut pages = EvidencePages::default();
        for _ in 0..20 {
            let page = pages.next_page(all.clone());
            assert!(page.routes.len() >= 5, "{length}: {}", page.routes.len());
            assert!(codec::encode(&page).len() <= MAX_BYTES, "{length}");
        }
    }
}

/// Guards against routes that no message tells, which then count as proven.
#[test]
fn each_of_many_routes_is_told_in_its_turn() {
    let mut answers = vec![(500, 0); 100];
    answers.extend([(1, 0); 100]);
    // Some busy routes get new failures all the time.
    for route in answers.iter_mut().take(40) {
        *route = (500, 100);
    }
    let mut pages = EvidencePages::default();
    let mut told = vec![false; answers.len()];
    for _ in 0..60 {
        for route in answers.iter_mut().take(100) {
            route.0 += 3;
        }
        for route in answers.iter_mut().take(40) {
            route.1 += 1;
        }
        let page = pages.next_page(of_routes(&answers));
        for (route, told) in (0..).zip(&mut told) {
            *told |= holds(&page, route);
        }
    }
    let untold: Vec<usize> = (0..told.len()).filter(|route| !told[*route]).collect();
    assert!(untold.is_empty(), "{untold:?}");
}

/// Guards against the failures of a quiet route that busier ones push out of the evidence.
#[test]
fn a_route_with_a_new_failure_is_in_the_next_message() {
    let mut answers = vec![(500, 0); 60];
    let mut pages = EvidencePages::default();
    for _ in 0..10 {
        let _ = pages.next_page(of_routes(&answers));
    }
    for failing in [59, 0, 30] {
        for route in &mut answers {
            route.0 += 10;
        }
        let quiet = usize::try_from(failing).unwrap();
        answers[quiet].1 += 1;
        assert!(
            holds(&pages.next_page(of_routes(&answers)), failing),
            "{failing}"
        );
    }
}

/// Guards against news that is lost with a message.
#[test]
fn a_route_without_news_is_repeated() {
    let mut answers = vec![(500, 0); 60];
    answers[7] = (20, 10);
    let mut pages = EvidencePages::default();
    let _ = pages.next_page(of_routes(&answers));
    let mut repeated = 0;
    for _ in 0..60 {
        for (route, answers) in answers.iter_mut().enumerate() {
            answers.0 += u32::from(route != 7);
        }
        repeated += u32::from(holds(&pages.next_page(of_routes(&answers)), 7));
    }
    assert!(repeated >= 1);
}

/// Guards against counts that are small at each instance and far apart in the messages.
#[test]
fn failures_on_one_of_many_routes_make_a_version_bad() {
    let now = Instant::now();
    let mut canary = CanaryAnalysis::default();
    let mut old = vec![(400, 1); 40];
    old[39] = (12, 0);
    let mut old_pages = EvidencePages::default();
    let mut new_pages: Vec<EvidencePages> = (0..4).map(|_| EvidencePages::default()).collect();
    let mut at_each = vec![(30, 0); 40];
    at_each[39] = (4, 2);
    for message in 0..5_u32 {
        let now = now + Duration::from_millis(100) * message;
        let of_old = Evidence {
            version: "v1".into(),
            ..of_routes(&old)
        };
        canary.merge(&"a".into(), 1, old_pages.next_page(of_old), now);
        for (instance, pages) in new_pages.iter_mut().enumerate() {
            let daemon = format!("b{instance}").as_str().into();
            canary.merge(&daemon, 1, pages.next_page(of_routes(&at_each)), now);
        }
    }
    let verdict = canary.verdict(&"catalogue".into(), &"v2".into(), 4, now);
    assert_eq!(verdict, Verdict::Bad);
}

/// Guards against answers from before a stage that count as its own since a message told them late.
#[test]
fn routes_that_the_first_messages_tell_late_are_not_new_answers() {
    let now = Instant::now();
    let mut canary = CanaryAnalysis::default();
    let mut pages = EvidencePages::default();
    for message in 0..8_u32 {
        let now = now + Duration::from_millis(100) * message;
        let page = pages.next_page(of_routes(&[(50, 0); 60]));
        canary.merge(&"b".into(), 1, page, now);
    }
    assert_eq!(
        canary.answers_at_stage(&"catalogue".into(), &"v2".into()),
        0
    );
    let page = pages.next_page(of_routes(&[(51, 0); 60]));
    let told = u32::try_from(page.routes.len()).unwrap();
    canary.merge(&"b".into(), 1, page, now + Duration::from_secs(1));
    assert_eq!(
        canary.answers_at_stage(&"catalogue".into(), &"v2".into()),
        told
    );
}
