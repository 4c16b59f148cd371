//! Tests which addresses of other control daemons a daemon keeps. No network is needed.

use std::net::SocketAddr;

use waxwinglatch::{
    config::VoterAddress,
    raft::{Membership, VoterId},
    voter::AddressBook,
};

fn address(number: u8) -> VoterAddress {
    let socket = |port: u16| SocketAddr::from(([10, 0, 0, number], port));
    VoterAddress {
        vm: format!("vm-{number}").into(),
        data_centre: "north".into(),
        system: socket(7600),
        admin: socket(7601),
    }
}

fn book() -> AddressBook {
    AddressBook::new(address(1), [address(2), address(3)])
}

fn membership(numbers: &[u8]) -> Membership {
    Membership::of_voters(
        numbers
            .iter()
            .map(|number| VoterId::new(format!("vm-{number}"), 1)),
    )
}

/// Guards against lists that grow with each machine that is replaced: all known daemons are asked for a seat, and named
/// in each answer (issue 49).
#[test]
fn daemons_that_are_no_members_are_forgotten() {
    let book = book();
    book.insert_missing(&[address(4)]);
    book.forget_others(&membership(&[1, 2]));
    assert_eq!(book.others(), [address(2)]);
}

/// Guards against a leader that cannot send to a learner, since it forgot the address that the machine told it.
#[test]
fn daemons_that_have_just_told_their_address_are_kept() {
    let book = book();
    book.update(&address(3));
    book.update(&address(4));
    book.forget_others(&membership(&[1, 2]));
    assert_eq!(book.others(), [2, 3, 4].map(address));
}

#[test]
fn the_address_that_a_daemon_tells_replaces_that_of_others() {
    let book = book();
    let moved = VoterAddress {
        system: SocketAddr::from(([10, 0, 0, 9], 7600)),
        ..address(2)
    };
    book.update(&moved);
    book.insert_missing(&[address(2)]);
    assert_eq!(book.find(&moved.vm), Some(moved));
}
