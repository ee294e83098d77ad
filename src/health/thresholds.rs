//! Scores at which the detector acts.

/// Score from which the detector requests an ejection at weight 0.0, in nats.
const EJECT_SCORE_MIN: f64 = 12.0;
/// Score from which the detector requests an ejection at weight 1.0, in nats.
const EJECT_SCORE_MAX: f64 = 30.0;
/// Score from which the detector reduces the traffic to a server at weight 0.0,
/// in nats.
const STEER_SCORE_MIN: f64 = 4.5;
/// Score from which the detector reduces the traffic to a server at weight 1.0,
/// in nats.
const STEER_SCORE_MAX: f64 = 12.0;

/// Scores, in nats (natural logarithms of likelihood ratios), at which the
/// detector acts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds {
    /// Score from which the detector requests an ejection.
    pub eject_score: f64,
    /// Score from which the detector reduces the traffic to a server.
    pub steer_score: f64,
}

impl Thresholds {
    /// Creates the thresholds for a service's weight of false ejections, from
    /// 0.0 to 1.0. A weight that is not finite counts as 1.0.
    #[must_use]
    pub fn for_weight(false_ejection_weight: f64) -> Self {
        let weight = if false_ejection_weight.is_finite() {
            false_ejection_weight.clamp(0.0, 1.0)
        } else {
            1.0
        };
        Self {
            eject_score: EJECT_SCORE_MIN + weight * (EJECT_SCORE_MAX - EJECT_SCORE_MIN),
            steer_score: STEER_SCORE_MIN + weight * (STEER_SCORE_MAX - STEER_SCORE_MIN),
        }
    }

    /// Returns the score from which the detector requests an ejection, in
    /// thousandths of a nat.
    #[must_use]
    pub fn eject_milli(&self) -> i64 {
        to_milli(self.eject_score)
    }

    /// Returns the score from which the detector reduces the traffic to a
    /// server, in thousandths of a nat.
    #[must_use]
    pub fn steer_milli(&self) -> i64 {
        to_milli(self.steer_score)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "scores are a few nats, far from the limits"
)]
fn to_milli(nats: f64) -> i64 {
    (nats * 1_000.0).round() as i64
}
