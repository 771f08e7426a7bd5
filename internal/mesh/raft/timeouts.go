package raft

import "time"

// The timeouts and delays of this package are fractions and multiples of the settings in Config, nearly all of ElectionTimeout, so that
// one setting scales them. Safety does not depend on them (Raft paper, section 5.6). They determine how fast a cluster reacts, and how
// often it starts elections and retries that turn out unnecessary.

// startupDelay is the minimum time from the start of a member to its first pre-vote. Together with startupJitter it is less than an
// election timeout: if there is a leader, the others reject the pre-vote, which does no harm; if there is none, a leader should be
// elected soon.
func (c *Config) startupDelay() time.Duration { return c.ElectionTimeout / 8 }

// startupJitter is the upper bound of the random time added to startupDelay.
func (c *Config) startupJitter() time.Duration { return c.ElectionTimeout / 4 }

// preVoteRetryDelay is the minimum time before a pre-candidate asks again; a random time of up to the same length is added. It is short
// because pre-votes disrupt no leader and a voter that was down may be back soon.
func (c *Config) preVoteRetryDelay() time.Duration { return c.ElectionTimeout / 4 }

// campaignRankDelay is how much longer than the election timeout a follower of the given rank waits before it campaigns.
func (c *Config) campaignRankDelay(rank int) time.Duration {
	return time.Duration(rank) * c.ElectionTimeout / 5
}

// campaignJitter is the upper bound of the random time added to campaignRankDelay. It is half of the difference between two ranks, so that
// members of different ranks do not campaign at the same time.
func (c *Config) campaignJitter() time.Duration { return c.ElectionTimeout / 10 }

// leaderExitDelay is how long a follower of the given rank waits before it campaigns once the leader's process is known to have ended. The
// constant part gives the other followers time to learn of it as well.
func (c *Config) leaderExitDelay(rank int) time.Duration {
	return c.ElectionTimeout/50 + time.Duration(rank)*c.ElectionTimeout/8
}

// checkQuorumTimeout is how long a leader may be without messages of a quorum before it steps down (dissertation, section 6.2). It is
// longer than the time after which HasQuorumContact returns false, so that a short interruption causes no election.
func (c *Config) checkQuorumTimeout() time.Duration { return 2 * c.ElectionTimeout }

// joinRequestInterval is the minimum time between two broadcasts of JoinRequest.
func (c *Config) joinRequestInterval() time.Duration { return c.ElectionTimeout / 4 }

// leaderContactTimeout is how recently a voter must have heard from its leader to ignore NotMember messages.
func (c *Config) leaderContactTimeout() time.Duration { return c.ElectionTimeout / 2 }

// notMemberNoticeTimeout is how long a NotMember message is valid. Its senders repeat it for each request that they receive.
func (c *Config) notMemberNoticeTimeout() time.Duration { return 2 * c.ElectionTimeout }

// leaveRequestInterval is the minimum time between two LeaveRequest messages of a member, or between two attempts to transfer leadership.
func (c *Config) leaveRequestInterval() time.Duration { return c.ElectionTimeout / 8 }

// leaveRequestTimeout is how long a LeaveRequest is valid. It is four times leaveRequestInterval, so that some requests may be lost. A
// member that no longer repeats its request has probably stopped.
func (c *Config) leaveRequestTimeout() time.Duration { return c.ElectionTimeout / 2 }

// leadershipTransferTimeout is how long a leaving leader considers its leadership transfer to be in progress (dissertation, section 3.10).
func (c *Config) leadershipTransferTimeout() time.Duration { return c.ElectionTimeout / 2 }

// silentLearnerTimeout is how long a learner may be silent before the leader stops replicating to it. The learner can ask to join again.
func (c *Config) silentLearnerTimeout() time.Duration { return 4 * c.DeadMemberTimeout }
