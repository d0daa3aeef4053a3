//! Look-up of customers by their keys.

use crate::customers::Customer;
use crate::customers::CustomerHead;
use crate::customers::CustomerTable;
use crate::customers::KeyHash;
use crate::customers::SharedKey;
use crate::customers::rank_of;
use crate::customers::take_shared_keys;

fn customer(name: &str, keys: &[&str]) -> Customer {
    Customer {
        name: name.into(),
        keys: keys.iter().map(|key| KeyHash::of(key.as_bytes())).collect(),
        rank: None,
        cap: None,
    }
}

#[test]
fn each_key_finds_its_customer_and_no_other_does() {
    let mut customers: Vec<Customer> = (0..10_000)
        .map(|number| {
            let keys = [format!("key-{number}-a"), format!("key-{number}-b")];
            customer(&format!("customer-{number}"), &[&keys[0], &keys[1]])
        })
        .collect();
    assert_eq!(take_shared_keys(customers.iter_mut()), Vec::new());
    let table = CustomerTable::new(&customers);
    assert_eq!(table.len(), 10_000);
    let find = |key: &str| table.find(&KeyHash::of(key.as_bytes()));
    for number in 0..10_000 {
        for part in ["a", "b"] {
            let found = find(&format!("key-{number}-{part}")).expect("a customer");
            assert_eq!(found.name, format!("customer-{number}"));
        }
    }
    for key in ["", "key-10000-a", "key-1", "KEY-1-a", "key-1-a "] {
        assert!(find(key).is_none(), "{key}");
    }
}

#[test]
fn another_hash_with_the_id_of_a_held_key_finds_nobody() {
    let table = CustomerTable::new(&[customer("gowns", &["k"])]);
    let mut hash = KeyHash::of(b"k");
    hash.0[31] ^= 1;
    assert_eq!(hash.id(), KeyHash::of(b"k").id());
    assert!(table.find(&hash).is_none());
}

#[test]
fn a_key_that_several_customers_hold_belongs_to_none_and_is_not_named() {
    let mut customers = [
        customer("moulds", &["a", "secret"]),
        customer("gowns", &["secret", "b"]),
        customer("prints", &["c"]),
    ];
    let shared = take_shared_keys(customers.iter_mut());
    let pair = |customer: &str, other: &str| SharedKey {
        customer: customer.into(),
        other: other.into(),
    };
    assert_eq!(shared, [pair("moulds", "gowns"), pair("gowns", "moulds")]);
    assert!(!format!("{shared:?}{customers:?}").contains("secret"));
    let table = CustomerTable::new(&customers);
    let find = |key: &str| {
        let found = table.find(&KeyHash::of(key.as_bytes()));
        found.map(|customer| customer.name.as_str())
    };
    assert_eq!(find("secret"), None);
    assert_eq!((find("a"), find("b")), (Some("moulds"), Some("gowns")));
    assert_eq!(find("c"), Some("prints"));
}

#[test]
fn a_key_that_was_taken_away_or_given_to_another_is_no_longer_held() {
    let head = |name: &str, key: &[u8]| CustomerHead {
        name: name.into(),
        key: KeyHash::of(key).id(),
    };
    let before = CustomerTable::new(&[customer("gowns", &["a", "b"]), customer("moulds", &[])]);
    let after = CustomerTable::new(&[customer("gowns", &["b"]), customer("moulds", &["a"])]);
    assert!(before.still_holds(&head("gowns", b"a")));
    assert!(after.still_holds(&head("gowns", b"b")));
    assert!(!after.still_holds(&head("gowns", b"a")));
    assert!(!after.still_holds(&head("gowns", b"c")));
}

#[test]
fn the_customers_with_the_largest_caps_have_a_name_in_metrics() {
    let customers: Vec<Customer> = (0..77_u32)
        .map(|number| Customer {
            cap: crate::rate_limit::RequestRate::from_per_sec(f64::from(number + 1))
                .map(|rate| crate::caps::Cap { rate, burst: 0 }),
            ..customer(&format!("customer-{number:02}"), &[])
        })
        .chain([customer("unlimited", &[])])
        .collect();
    let table = CustomerTable::new(&customers);
    let labels: Vec<_> = customers.iter().map(|c| table.label(c)).collect();
    let named = labels.iter().filter(|label| *label != "(rest)");
    assert_eq!(named.count(), 20);
    assert_eq!(labels[77], "unlimited");
    assert_eq!(labels[76], "customer-76");
    assert_eq!(labels[58], "customer-58");
    assert_eq!(labels[57], "(rest)");
}

#[test]
fn the_rank_of_a_customer_goes_before_that_of_the_route() {
    let of = |rank| Customer {
        rank,
        ..customer("gowns", &[])
    };
    let (urgent, usual, none) = (of(Some(0)), of(Some(1)), of(None));
    assert!(rank_of(Some(&urgent), 2) < rank_of(Some(&usual), 0));
    assert!(rank_of(Some(&usual), 0) < rank_of(Some(&usual), 1));
    assert_eq!(rank_of(Some(&none), 1), rank_of(Some(&usual), 1));
    assert_eq!(rank_of(None, 1), rank_of(Some(&usual), 1));
    assert!(rank_of(Some(&of(Some(255))), 255) >= rank_of(Some(&of(Some(20))), 20));
}
