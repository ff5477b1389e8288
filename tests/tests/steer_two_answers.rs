//! Flows whose opening packet was answered by two targets: they stay at the target that the caller
//! acknowledged first, although the caller repeats the token that it received last.

use bambooseam_steer::{Decision, Placement, Steering, TokenForm};
use bambooseam_tests::steering::*;
use bambooseam_types::Token;

/// Returns steering that has sent the opening packet of flow 1 to one target and its copy to
/// another one, and the tokens of both.
fn moved_opening() -> (Steering, Token, Token) {
    moved_opening_in(TokenForm::Start)
}

/// The same with tokens of a form.
fn moved_opening_in(form: TokenForm) -> (Steering, Token, Token) {
    let mut steering = steering([target(1)]);
    steering.set_token_form(form);
    let first = token_of(steering.decide(&opening_packet(flow(1, ORDERS), 0), at(0)));
    steering.decide(&opening_packet(flow(2, ORDERS), 0), at(0));
    steering.put_target(target(2), at(100));
    let decision = steering.decide(&opening_packet(flow(1, ORDERS), 1), at(200));
    let (_, moved) = decision.forwarded().expect("a forwarded packet");
    assert_ne!(first, moved);
    (steering, first, moved)
}

/// Sends the next packet of flow 1 with `token` at `time`, and returns the token that it is
/// forwarded with.
fn send(steering: &mut Steering, token: Token, (seq, len): (u32, u16), time: u64) -> Token {
    let packet = flow_packet(flow(1, ORDERS), token, seq, 501, len);
    token_of(steering.decide(&packet, at(time)))
}

// The answer of the first target arrives late, after the caller has acknowledged the second one's.
#[test]
fn late_answer_of_the_first_target_does_not_move_the_flow() {
    let (mut steering, first, moved) = moved_opening();
    assert_eq!(send(&mut steering, moved, (101, 0), 220), moved);
    for (time, token) in [(230, first), (430, first), (830, first), (850, moved)] {
        assert_eq!(send(&mut steering, token, (101, 40), time), moved, "{time}");
    }
}

// The caller has acknowledged the first target, and the second one answers as well.
#[test]
fn answer_to_the_copy_does_not_move_the_flow() {
    let (mut steering, first, moved) = moved_opening();
    assert_eq!(send(&mut steering, first, (101, 0), 220), first);
    for (time, token) in [(230, moved), (430, moved), (830, moved), (850, first)] {
        assert_eq!(send(&mut steering, token, (101, 40), time), first, "{time}");
    }
}

// Guards against a flow that moves unseen: the log names packets whose token was replaced.
#[test]
fn packets_whose_token_is_replaced_are_marked() {
    for form in [TokenForm::Start, TokenForm::Numbered] {
        let (mut steering, first, moved) = moved_opening_in(form);
        send(&mut steering, first, (101, 0), 220);
        for (token, expected) in [(moved, Some(Placement::Continued)), (first, None)] {
            let packet = flow_packet(flow(1, ORDERS), token, 101, 501, 40);
            let decision = steering.decide(&packet, at(230));
            let Decision::Forward {
                token, placement, ..
            } = decision
            else {
                panic!("{decision:?}");
            };
            assert_eq!((token, placement), (first, expected));
        }
    }
}

// Other VMs have placed copies as well: a token that this VM did not select is the caller's choice.
#[test]
fn token_of_a_copy_placed_by_another_vm_is_followed() {
    let (mut steering, first, moved) = moved_opening();
    steering.put_target(target(3), at(210));
    let other = target(3).token();
    assert_eq!(send(&mut steering, other, (101, 0), 220), other);
    assert_eq!(send(&mut steering, moved, (101, 40), 230), other);
    assert_eq!(send(&mut steering, first, (101, 40), 430), other);
}

// The caller's first acknowledgement has passed through another VM, so that this one takes the wrong
// target for the one at which the flow is open.
#[test]
fn flow_follows_its_caller_if_the_other_target_acknowledges_nothing() {
    let (mut steering, first, moved) = moved_opening();
    assert_eq!(send(&mut steering, moved, (101, 40), 220), moved);
    for time in [420, 820] {
        assert_eq!(send(&mut steering, first, (101, 40), time), moved, "{time}");
    }
    for time in [1_620, 1_700] {
        assert_eq!(send(&mut steering, first, (101, 40), time), first, "{time}");
    }
}

// The caller is right, and the target that this VM takes for the flow's has left.
#[test]
fn flow_is_not_held_at_a_target_that_has_ended() {
    let (mut steering, first, moved) = moved_opening();
    assert_eq!(send(&mut steering, moved, (101, 0), 220), moved);
    steering.remove_targets(&[target(2).id], at(300));
    steering.sweep(at(700));
    steering.record_sync(at(4_300));
    steering.sweep(at(4_300));
    assert_eq!(send(&mut steering, first, (101, 40), 4_310), first);
}

// A later flow from the same port may open at the target that lost the race.
#[test]
fn next_flow_of_the_port_is_not_bound() {
    let (mut steering, first, moved) = moved_opening();
    send(&mut steering, moved, (101, 0), 220);
    let mut opening = opening_packet(flow(1, ORDERS), 0);
    opening.seq = 1_000_000;
    let decision = steering.decide(&opening, at(9_000));
    assert!(matches!(
        decision,
        Decision::Forward {
            placement: Some(Placement::Placed),
            ..
        }
    ));
    for token in [first, moved] {
        let mut steering = moved_opening().0;
        send(&mut steering, moved, (101, 0), 220);
        steering.decide(&opening, at(9_000));
        assert_eq!(send(&mut steering, token, (1_000_001, 0), 9_020), token);
    }
}
