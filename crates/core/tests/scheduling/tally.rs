//! What became of requests.

use super::simulation::Request;

/// Counts of requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub asked: u32,
    pub in_goal: u32,
    pub late: u32,
    pub refused: u32,
    pub refused_again: u32,
    large_asked: u32,
    large_served: u32,
}

impl Tally {
    pub fn count_asked(&mut self, request: &Request) {
        self.asked += 1;
        self.large_asked += u32::from(request.is_large);
    }

    pub fn count_refused(&mut self, request: &Request) {
        self.refused += u32::from(!request.is_retry);
        self.refused_again += u32::from(request.is_retry);
    }

    pub fn count_served(&mut self, request: &Request, is_in_goal: bool) {
        self.in_goal += u32::from(is_in_goal);
        self.late += u32::from(!is_in_goal);
        self.large_served += u32::from(request.is_large);
    }

    pub fn plus(self, other: Self) -> Self {
        Self {
            asked: self.asked + other.asked,
            in_goal: self.in_goal + other.in_goal,
            late: self.late + other.late,
            refused: self.refused + other.refused,
            refused_again: self.refused_again + other.refused_again,
            large_asked: self.large_asked + other.large_asked,
            large_served: self.large_served + other.large_served,
        }
    }

    pub fn served(&self) -> u32 {
        self.in_goal + self.late
    }

    pub fn served_percent(&self) -> u32 {
        self.served() * 100 / self.asked
    }

    pub fn large_percent(&self) -> u32 {
        self.large_served * 100 / self.large_asked
    }
}
