//! Replays of scarce room at one instance, with the former admission control as baseline.

mod fair_shares;
mod lasting_shortage;
mod long_work;
mod returns;
mod simulation;
