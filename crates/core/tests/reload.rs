//! Tests that an engine that holds a version is made to load all of its layers again.

use std::ops::Range;

use pimentohook_core::reload;
use rstest::rstest;

const LAYER_COUNT: u32 = 7;
const STEPS_MAX: usize = 100;

/// Plays an engine that takes each order, whose loads are vouched for as `vouched` says; returns how
/// often each layer was loaded, and whether all is done.
fn play<V>(mut vouched: V) -> (Vec<u32>, bool)
where
    V: FnMut(usize) -> bool,
{
    let mut reload = reload::Reload::new(LAYER_COUNT);
    let mut held: Range<u32> = 0..LAYER_COUNT;
    let mut loaded = vec![0; LAYER_COUNT as usize];
    let mut load_count = 0;
    for _ in 0..STEPS_MAX {
        let Some(order) = reload.next_order(&held) else {
            break;
        };
        reload.record_order();
        for layer in order.clone().filter(|layer| !held.contains(layer)) {
            loaded[layer as usize] += 1;
        }
        let is_load = order.len() > held.len();
        held = order;
        let is_vouched = !is_load || vouched(load_count);
        load_count += usize::from(is_load);
        reload.record_held(&held, is_vouched);
    }
    (loaded, reload.is_done())
}

#[test]
fn each_layer_is_loaded_again_once() {
    assert_eq!(play(|_| true), (vec![1; 7], true));
}

/// Each half whose load is doubted again is loaded once more.
#[rstest]
#[case(0, vec![2, 2, 2, 1, 1, 1, 1])]
#[case(1, vec![1, 1, 1, 2, 2, 2, 2])]
fn what_is_doubted_again_is_loaded_again(#[case] doubted: usize, #[case] expected: Vec<u32>) {
    assert_eq!(play(|load| load != doubted), (expected, true));
}

#[test]
fn it_is_given_up_if_no_load_can_be_vouched_for() {
    assert!(!play(|_| false).1);
}

/// An engine that keeps all layers whatever it is ordered has loaded nothing again.
#[test]
fn an_engine_that_drops_no_layers_is_not_taken_to_have_loaded_them_again() {
    let mut reload = reload::Reload::new(LAYER_COUNT);
    let held = 0..LAYER_COUNT;
    let mut order_count = 0;
    while reload.next_order(&held).is_some() {
        reload.record_order();
        reload.record_held(&held, true);
        order_count += 1;
        assert!(order_count < STEPS_MAX);
    }
    assert!(!reload.is_done());
}

#[test]
fn a_model_of_one_layer_can_not_be_loaded_again() {
    let reload = reload::Reload::new(1);
    assert_eq!(reload.next_order(&(0..1)), None);
    assert!(!reload.is_done());
}
