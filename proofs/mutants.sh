#!/usr/bin/env bash
# Takes one mechanism away at a time, in a scratch copy, and requires that the test which proves it fails.
# Usage: proofs/mutants.sh [NAME...]
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# mutant NAME FILE SED MODULE TEST
mutant() {
	local name=$1 file=$2 edit=$3 package=$4 test=$5 flags=
	[ "$package" != "$lease" ] || flags="-rapid.checks=20000 -rapid.nofailfile"
	[ ${#wanted[@]} -eq 0 ] || [[ " ${wanted[*]} " == *" $name "* ]] || return 0
	rm -rf "$work/copy"
	mkdir "$work/copy"
	(cd "$root" && tar -cf - --exclude=.git --exclude=bin --exclude=.run .) | tar -xf - -C "$work/copy"
	perl -0pi -e "$edit" "$work/copy/$file"
	if cmp -s "$root/$file" "$work/copy/$file"; then
		echo "$name: the edit changes nothing"
		failed=1
		return 0
	fi
	if ! (cd "$work/copy" && go vet "$package") >"$work/out" 2>&1; then
		echo "$name: does not build"
		head -5 "$work/out"
		failed=1
		return 0
	fi
	if (cd "$work/copy" && timeout 120 go test -count=1 -run "$test" "$package" $flags) >"$work/out" 2>&1; then
		echo "$name: $test passes without it"
		failed=1
		return 0
	fi
	echo "$name: refuted by $test"
}

wanted=("$@")
daemon=./wagtailwharfd/wharfdaemon
lease=./wharf/coordination/wharflease

mutant promise-not-kept wharf/coordination/wharflease/machine.go \
	's/if m\.promised\[host\] == epoch \{/if false \{/' $lease TestReclaimedLeaseIsNeverInForce
mutant promise-before-vote-ends wharf/coordination/wharflease/machine.go \
	's/if !m\.isSilent\(host, now\) \{/if false \{/' $lease TestReclaimedLeaseIsNeverInForce
mutant reclaim-in-new-generation wharf/coordination/wharflease/machine.go \
	's/m\.lost \|\| now\.Sub\(m\.adoptedAt\) <= m\.term\+m\.margin/m.lost/' $lease TestReclaimWaitsOneTermAfterNewGeneration
mutant lease-without-quorum wharf/coordination/wharflease/machine.go \
	's/others := m\.zone\.Quorum\(\) - 1/others := 1/' $lease 'TestReclaimedLeaseIsNeverInForce|TestLeaseRequiresQuorum'
mutant fence-not-checked wagtailwharfd/wharfdaemon/daemon.go \
	's/return d\.member\.InForce\(\) && d\.rollout\.CaughtUp\(\)/return true/' $daemon TestIsolatedHostStopsKeyedRequests
mutant owner-known-by-platform-only wharf/coordination/wharfquota/client.go \
	's/if zone != c\.zone \{/if true \{/' $daemon TestPlatformOutageStopsNoOnlineRequest
mutant grants-do-not-count wharf/state/wharfbucket/bucket.go \
	's/room := max\(0, b\.burst-b\.outstanding\)/room := b.burst/' ./wharf/state/wharfbucket TestEveryWindowStaysWithinRateAndBurst
mutant new-owner-starts-full wharf/coordination/wharfquota/owner.go \
	's/inherited:\s+row\.Version != 0 && !last\.Untouched/inherited: false/' $daemon TestNewOwnerDoesNotStartWithAFullBurst
mutant zones-do-not-lend wharf/coordination/wharfquota/draw.go \
	's/if loans == 0 \{/if loans >= 0 {/' $daemon TestSkewedOrganisationGetsItsWholeRate
mutant lost-reply-is-a-conflict wharf/transport/wharfstore/client.go \
	's/return trace\.Wrap\(c\.settle\(ctx, commit\)\)/return trace.Wrap(err)/' ./wharf/transport/wharfstore TestCommitResolvesLostReplies
mutant submission-not-kept wharf/coordination/wharfjobs/jobs.go \
	's/\[\]wharfrow\.Condition\{wharfstorage\.At\(submissionKey, 0\), /[]wharfrow.Condition{/' $daemon 'TestConcurrentResendsCreateOneJob'
mutant done-after-cancel wharf/coordination/wharfbatch/commit.go \
	's/\t\twharfstorage\.At\(wharfjob\.JobKey\(c\.open\.Job\), c\.open\.JobVersion\),\n//' $daemon TestNoItemCompletesAfterCancelMissedByPeers
mutant dead-owner-keeps-chunks wharf/coordination/wharfbatch/adopt.go \
	's/return !zones\[i\]\.HasMember\(owner\.Host, owner\.Epoch\)/return false/' $daemon TestJobSurvivesKillsAndLostReplies
mutant key-passed-on wharf/transport/wharfgateway/refusals.go \
	's/if token == "" \{/if true {/' $daemon TestEndpointsNeverSeeKeys
mutant streams-outlive-keys wharf/transport/wharfgateway/server.go \
	's/a\.cancel\(ErrKeyRevoked\)/_ = a/' $daemon TestWithdrawnKey
mutant accepted-before-confirmed wharf/coordination/wharfrollout/apply.go \
	's/result\.InForce = len\(result\.Unconfirmed\) == 0/result.InForce = true/' $daemon TestConfigurationIsNotAccepted
mutant parent-not-checked wharf/coordination/wharfrollout/apply.go \
	's/if present\.Version != parent \{/if false {/; s/wharfstorage\.At\(currentKey, version\)\}/wharfstorage.At(currentKey, version)}[:0]/' $daemon TestConcurrentAppliesAcceptOne
mutant signature-not-checked wharf/coordination/wharfrollout/apply.go \
	's/if len\(signers\) < r\.options\.RequiredSignatures \{/if false {/' $daemon TestInvalidOrUnsignedBundleIsRejected
mutant no-reservation wharf/coordination/wharfonce/once.go \
	's/wharfstorage\.At\(request\.key\(\), 0\)\}/wharfstorage.At(request.key(), 0)}[:0]/' $daemon TestNonRepeatableRequestsRunAtMostOnce
mutant retried-though-sent wharf/transport/wharfgateway/services.go \
	's/mayRepeat := c\.route\.Repeatable \|\| !c\.sent/mayRepeat := true/' $daemon 'TestNonRepeatable|TestNotRunStateIsAccurate'
mutant unknown-called-not-run wharf/transport/wharfgateway/services.go \
	's/return endpointRefusal\(err, c\.sent\)/return errEndpointUnreachable/' $daemon TestNotRunStateIsAccurate
mutant answers-not-checked wharf/protocol/wharfapi/api.go \
	's/return strings\.HasSuffix\(c\.ID, requestID\)/return strings.HasSuffix(requestID, "")/' $daemon TestCallerGetsItsOwnWholeAnswer
mutant cut-stream-looks-whole wharf/protocol/wharfevents/reader.go \
	's/return nil, ErrCutShort/return nil, io.EOF/' $daemon TestCallerGetsItsOwnWholeAnswer
mutant silence-not-bounded wharf/transport/wharfendpointclient/client.go \
	's/time\.AfterFunc\(limit, func\(\) \{ cancel\(ErrIdleTimeout\) \}\)/time.AfterFunc(time.Hour, func() {})/; s/w\.timer\.Reset\(limit\)/_ = limit/' $daemon TestSilentConnectionsAreAbandoned
mutant poison-not-shared wagtailwharfd/wharfdaemon/peers.go \
	's/_ = d\.peers\.Strike\(ctx, to, strike\)/_ = strike/' $daemon TestPoisonRequestCrashesAreBounded
mutant stop-without-waiting wagtailwharfd/wharfdaemon/shutdown.go \
	's/if err := d\.callers\.Shutdown\(drainCtx\); err != nil/if err := d.callers.Close(); err != nil/' $daemon TestRollingRestart
mutant list-of-leavers-ignored wharf/state/wharfpick/picker.go \
	's/settings\.Leaving \|\| leaving\[settings\.Name\]/settings.Leaving/' $daemon TestLeavingEndpoint
mutant orders-not-read-back wharf/coordination/wharforder/reconciler.go \
	's/r\.inSync\[endpoint\] == version && r\.round%recheckRounds != 0/r.inSync[endpoint] == version/' $daemon TestOrdersEnd
mutant batch-stays wharf/coordination/wharfbatch/runner.go \
	's/i >= 0 && available < 0/false \&\& i >= 0 \&\& available < 0/' $daemon TestBatchYieldsToOnline

book=./wharf/coordination/wharfjobstore
mutant any-host-lists wharf/coordination/wharfjobstore/change.go \
	's/next\.Cancelled \|\| next\.Owner != s\.options\.Host \|\| next\.Incarnation != s\.options\.Incarnation/next.Cancelled/' $book TestHistoriesOfOneJobAreLinearizable
mutant unknown-submission-refused wharf/coordination/wharfjobstore/store.go \
	's/return s\.resolveUnknown\(ctx, sub\)/return wharfrecords.ErrUnavailable/' $book TestHistoriesOfOneJobAreLinearizable
mutant lost-reply-repeated wharf/coordination/wharfjobstore/change.go \
	's/if seen\.TransactionID == id/if false/' $book TestLostRepliesAreResolved
mutant stop-repeated-cuts wagtailwharfd/main.go \
	's/received == os\.Interrupt/received != nil/' ./wagtailwharfd TestOnlySecondInterruptAbortsDrain

fleet=./wharf/state/wharffleet
mutant word-of-peers-ignored wharf/state/wharffleet/health.go \
	's/if e\.sharedFaults >= sharedFaultsToEject && !e\.ejectedUntil\.After\(now\)/if false/' $fleet TestHostsShareFaultsOfFailingEndpoint
mutant answers-of-peers-ignored wharf/state/wharffleet/health.go \
	's/case load\.Served > 0:\n\t\t\te\.sharedFaults = 0/case load.Served > 0:/' $fleet TestOccasionalFaultsRarelyEject
mutant own-faults-taken-back wharf/state/wharffleet/health.go \
	's/\t\t\tif e\.ejectedByPeers \{/\t\t\tif true {/' $fleet TestPeersReadmitOnlyPeerEjections
mutant last-attempts-are-trials wharf/state/wharffleet/health.go \
	's/return !lastAttempt && /return /' $fleet TestLastAttemptsAreNotProbes
mutant ring-not-shared-out wharf/state/wharffleet/subset.go \
	's/f\.position = float64\(rank\) \/ float64\(max\(1, count\)\)/f.position = 0/' $fleet TestLargeZoneSubsetsLimitHostsPerEndpoint
mutant crowded-part-not-left wharf/state/wharffleet/pick.go \
	's/if i >= subset && sel\.hasFree && [^{]*\{/if i >= subset {/' $fleet TestPickContinuesBeyondFullSubset
mutant levels-of-another-roll wharf/coordination/wharflimiter/levels.go \
	's/levels\.OrganisationsHash != c\.hash \|\| //' ./wharf/coordination/wharflimiter TestLevelsOfAnotherConfigurationAreAssumed
mutant settled-before-listed wagtailwharfd/wharfhost/members.go \
	's/m\.settled = m\.listed/m.settled = true/' ./wagtailwharfd/wharfhost TestHostsStartingTogetherDoNotAssumeTheyAreAlone
mutant silent-owner-uses-up-terms wharf/coordination/wharfquota/client.go \
	's/ctx, cancel := context\.WithTimeout\(ctx, ownerTimeout\)/ctx, cancel := context.WithCancel(ctx)/' ./wharf/coordination/wharfquota TestSilentOwnerDoesNotConsumeNextOwnersTerm

slots=./wharf/coordination/wharfallocator
mutant slot-granted-twice wharf/state/wharffleet/pick.go \
	's/f\.addPeerLoad\(r\.Requester\.Host, best, r\.Batch\)//' $slots TestNoSlotIsGrantedTwice
mutant other-zones-not-asked wharf/coordination/wharfallocator/allocator.go \
	's/; granted \{/; false \&\& granted {/' $slots TestNoSlotIsGrantedTwice
mutant second-allocator-not-asked wharf/coordination/wharfallocator/allocator.go \
	's/if errors\.Is\(err, errUnanswered\) \{\n\t\t\tcontinue/if errors.Is(err, errUnanswered) {\n\t\t\tbreak/' $slots TestSecondAllocatorAnswersWhenTheFirstDoesNot
mutant slot-of-leaver-kept wharf/coordination/wharfallocator/allocator.go \
	's/\t\tplacement\.Release\(\)\n//' $slots TestSlotOfACallerThatHasLeftIsGivenBack
mutant stalls-not-told wharf/state/wharffleet/peer.go \
	's/e\.stalled \+= sign \* load\.Stalled//' $fleet TestHostsShareStalls
mutant probed-by-requests wharf/state/wharffleet/health.go \
	's/if e\.unreachable \{/if false {/' ./wharf/transport/wharfprober TestUnreachableEndpointGetsNoRequestUntilItIsBack
mutant ended-revived wharf/coordination/wharfgossip/digest.go \
	's/p\.LastHeard\.After\(p\.endedAt\) && //' ./wharf/coordination/wharfgossip TestEndedHostIsNotRevivedByHearsay
mutant each-host-admits wharf/coordination/wharflimiter/limiter.go \
	's/\t\tif to\.Self \{/\t\tif true {/' ./wharf/coordination/wharflimiter TestSmallOrganisationIsHeldToItsRateByManyHosts
mutant head-without-bound wharf/transport/wharfhttpconn/conn.go \
	's/if b\.left <= 0 \{/if false {/; s/data\[:min\(len\(data\), b\.left\)\]/data/' ./wharf/transport/wharfforwarder TestBytesWithoutEndAreBounded
mutant rest-left-unread wharf/transport/wharfhttpconn/conn.go \
	's/if n > limit \{/if n > limit \&\& false {/' ./wharf/transport/wharfforwarder TestRestOfADiscardedBodyIsNotTheNextAnswer
mutant any-late-answer-taken wharf/transport/wharfforwarder/forwarder.go \
	's/return !a\.conn\.Reused/return true/' ./wharf/transport/wharfforwarder TestLateResponseWithoutIDIsNotTaken
mutant slow-readers-kept wharf/transport/wharffrontend/server.go \
	's/SetWriteDeadline\(deadline\)/SetWriteDeadline(deadline.Add(time.Hour))/' ./wagtailwharfd/wharfhost TestCallerThatDoesNotReadIsDropped

host=./wagtailwharfd/wharfhost
mutant parts-not-counted wharf/state/wharfcrash/request.go \
	's/for _, part := range parts \{/for _, part := range parts[:0] {/' $host TestPromptPartThatCrashesEndpointsIsNotSentOn
mutant answers-clear-nothing wharf/state/wharfcrash/tracker.go \
	's/for _, id := range r\.identities\(\) \{\n\t\tif t\.suspects\[id\] != nil/for _, id := range r.identities()[:0] {\n\t\tif t.suspects[id] != nil/' ./wharf/state/wharfcrash TestBlockedIdentity
mutant verdicts-not-in-store wharf/coordination/wharfblocklist/list.go \
	's/l\.tracker\.Block\(v, time\.Now\(\)\)//' ./wharf/coordination/wharfblocklist TestVerdictsReach
mutant item-left-alone wharf/coordination/wharfjobrunner/start.go \
	's/i\.finished \|\| now\.Before/i.finished || i.disconnects >= 6 || now.Before/' ./wharf/coordination/wharfjobrunner TestItemUnderWhichEndpointsCrashedIsRunAgain
mutant former-allocators-not-told wharf/coordination/wharfgossip/fanout.go \
	's/g\.sendNoLoads\(formerReceivers\(previous, f\)\)/_ = formerReceivers(previous, f)/' ./wharf/coordination/wharfgossip TestFormerAllocatorHears
mutant verdicts-of-others-explain-nothing wharf/state/wharfcrash/tracker.go \
	's/if newlyBlocked && s\.depth > 0/if newlyBlocked \&\& false/' ./wharf/state/wharfcrash TestVerdictsOfOtherHostsHold
mutant broadest-part-blocked wharf/state/wharfcrash/tracker.go \
	's/slices\.SortFunc\(guilty, t\.compareBreadth\)/slices.SortFunc(guilty, func(a, b Identity) int { return t.compareBreadth(b, a) })/' ./wharf/state/wharfcrash TestBlockedIdentity
mutant blocked-before-all-reported wharf/state/wharfcrash/tracker.go \
	's/now\.Sub\(s\.guiltyAt\) >= SettleTime/true/' ./wharf/state/wharfcrash TestTrials
mutant first-event-clears wharf/transport/wharffrontend/evidence.go \
	's/begunEvents = 2/begunEvents = 1/' $host TestPromptPart
mutant fleet-of-sixteen-assumed wharf/coordination/wharflimiter/limiter.go \
	's/return max\(hosts, 1\+len\(l\.options\.Peers\(\)\)\)/return hosts/' ./wharf/coordination/wharflimiter TestHostsRestartedWhileTheStoreIsDown
mutant limit-of-zero-for-good wharf/state/wharffleet/announcement.go \
	's/max\(rate, minLimit\)/rate/' $fleet TestAnnouncementsAreShared
mutant lost-endpoint-ends-item wharf/coordination/wharfbatch/chunk.go \
	's/if errors\.Is\(err, ErrEndpointLost\) \{/if false {/' $daemon TestItemUnderWhichAnEndpointBrokeOff
mutant limit-ignored wharf/state/wharffleet/announcement.go \
	's/return a\.tokens >= 1/return true/' $host TestEndpointsGetNoMoreThanTheLimitThatTheyName
mutant limit-of-each-host wharf/state/wharffleet/announcement.go \
	's/a\.take\(float64\(requests-counted\), now\)//' $host TestEndpointsGetNoMoreThanTheLimitThatTheyName
mutant leaving-notice-ignored wharf/state/wharffleet/endpoint.go \
	's/return e\.Leaving \|\| e\.announcement\.leaving/return e.Leaving/' $host TestEndpointThatSaysItIsLeavingGetsNoNewRequests
mutant resend-called-not-run wharf/transport/wharfgateway/services.go \
	's/WithRetryAfter\(time\.Second\)\.MayHaveRun\(\)/WithRetryAfter(time.Second)/' $daemon TestResendDuringAnOutageIsNotCalledNotRun
mutant timed-out-call-closes wharf/transport/wharfrpc/session.go \
	's/limit := retirementTimeout/limit := time.Duration(0)/' ./wharf/transport/wharfrpc TestTimedOutCallLeaves
mutant call-waits-for-handshake wharf/transport/wharfrpc/peer.go \
	's/case <-ctx\.Done\(\):\s+return nil, ctx\.Err\(\)//' ./wharf/transport/wharfrpc TestCallsToFrozenPeer
mutant other-zones-not-asked wagtailwharfd/wharfhost/host.go \
	's/Allocators:       h\.gossip\.Allocators/Allocators: h.allocator.Usable/' $host TestHostWhoseAllocators
mutant late-answer-gives-up wharf/coordination/wharfallocator/allocator.go \
	's/if a\.answered\[host\]\.After\(start\) \{/if false {/' ./wharf/coordination/wharfallocator TestAllocatorThatAnswers
mutant items-of-silent-hosts-taken wharf/state/wharffleet/peer.go \
	's/if p\.silent \{/if false {/' $fleet TestItemsOfSilentHosts
mutant silent-host-is-to-stop wharf/state/wharffleet/yield.go \
	's/load\.Batch > 0 && !p\.silent/load.Batch > 0/' $fleet TestOwnItemsYield
mutant refuted-verdict-not-returned wagtailwharfd/wharfhost/crash.go \
	's/known && len\(refuted\) > 0/known \&\& len(refuted) < 0/' $host TestHostThatTellsARefutedVerdict
mutant jobs-adopted-on-old-word wharf/coordination/wharfjobrunner/adopt.go \
	's/now\.Sub\(since\) >= statusDelay/true/' ./wharf/coordination/wharfjobrunner 'TestOutageOfTheStoreForAll|TestJobsOfHostRestartedInAnOutage'
mutant owner-without-store-keeps-jobs wharf/coordination/wharfjobrunner/adopt.go \
	's/return "owner can.t reach the store"/return ""/' ./wharf/coordination/wharfjobrunner TestJobsOfHostThatCanNotReach
mutant any-version-continues wharf/state/wharffleet/pick.go \
	's/\(sel\.Version == "" \|\| e\.Version == sel\.Version\)/true/' $host TestStreamResumedWithinOneAnswer
mutant items-at-any-version wharf/coordination/wharfjobrunner/start.go \
	's/Version: origin\.Version, Batch: true/Batch: true/; s/i\.events > 0 && placement\.Endpoint\.Version != i\.origin\.Version/false/' $host TestBatchItemStaysAtTheVersion
mutant streams-not-recorded wharf/coordination/wharforigins/origins.go \
	's/if len\(route\.Targets\) == 1 && !o\.options\.Releases\.Several\(origin\.Service\) \{/if len(route.Targets) > 0 {/' $host TestStreamTakenUpAfterAllHosts
mutant one-of-several-versions-guessed wharf/coordination/wharfreleases/releases.go \
	's/case only != "":\s+return "", ErrNotKnown//' ./wharf/coordination/wharforigins TestOriginIsKnownOrRefused
mutant versions-without-rows-admitted wharf/coordination/wharfreleases/releases.go \
	's/return known && !now\.Before\(at\)/return !known || !now.Before(at)/' ./wharf/coordination/wharfreleases TestStreamsBeginOnly
mutant take-ups-not-first wharf/coordination/wharfgate/gate.go \
	's/if request\.Continues \{/if false {/' ./wharf/coordination/wharfgate TestStreamsTakenUpGoFirst
mutant take-ups-do-not-overdraw wharf/coordination/wharflimiter/limiter.go \
	's/a\.Continues && b\.share/false \&\& b.share/' ./wharf/coordination/wharflimiter TestStreamsTakenUpOverdraw
mutant refused-requests-not-noted wharf/transport/wharfforwarder/forwarder.go \
	's/conn\.NoteRefused\(a\.Call\.ID\)//' ./wharf/transport/wharfforwarder TestEarlierRefusal
mutant any-number-of-slots platform/wharfcatalog/catalog.go \
	's/ \|\| r\.Slots > maxSlots//' $host TestOddEntries
mutant stop-drops-what-it-reads wagtailwharfd/wharfservice/service.go \
	's/c\.New\+c\.Active\+c\.Idle == 0/c.Active < 100/' ./wagtailwharfd/wharfservice TestRequestsThatHaveArrived
mutant stop-takes-all wharf/transport/wharffrontend/server.go \
	's/time\.Until\(\*stopAt\) >= limit/true/' $host TestStreamThatFollowsAnotherInAPlannedStop
mutant lost-hosts-hold-slots wharf/state/wharffleet/peer.go \
	's/case silence >= lostLimit:/case false:/' $host TestSlotsOfLostHosts
mutant unnumbered-events-taken wharf/transport/wharfforwarder/forwarder.go \
	's/event\.HasNumber != event\.HasData \|\| //' ./wharf/transport/wharfforwarder TestBytesWithoutEndAreBounded
mutant nonsense-kept wharf/coordination/wharfjobrunner/finish.go \
	's/if outcome\.Outcome == wharfoutcome\.Malformed \{/if false {/' $host TestBytesWithoutEndAreNoPart
mutant outputs-without-sum wharf/transport/wharfjobexecutor/executor.go \
	's/return taken <= c\.executor\.budget \|\|/return taken >= 0 ||/' ./wharf/transport/wharfjobexecutor TestOutputsOfAll
mutant one-large-write wharf/coordination/wharfjobstore/change.go \
	's/len\(rows\) == maxRows \|\| len\(rows\) > 0 && size > maxTransactionBytes/false/' $book TestWritesKeepToTheLimits
mutant objects-shared wharf/coordination/wharfjobstore/rows.go \
	's/wharfkey\.Hash\(data, organisation, id\)/organisation + "-" + id/' $book TestJobsHaveObjects
mutant stale-endpoints-take-streams-up wharf/transport/wharffrontend/online.go \
	's/if o\.outOfStep\(\) \{/if false {/' $host TestTakeUpAtAHostOutOfStep
mutant objects-unchecked wharf/coordination/wharfjobstore/objects.go \
	's/if !legacy && job\.Object != itemsObject\(job\.Organisation, job\.ID, data\) \{/if false {/' $book TestObjectsAreReadWhole
mutant legacy-objects-trusted wharf/coordination/wharfjobstore/objects.go \
	's/if !fits\(\*job\) \|\| .*? \{/if false \&\& fits(*job) {/' $book TestLegacyObjectOfTwoJobs
forwarder=wharf/transport/wharfforwarder/forwarder.go
mutant failures-joined $forwarder 's/>= http\.StatusMultipleChoices && a\.HeaderWritten/< 0/' $host TestFailureIsNoPart
mutant unsigned-answers $forwarder 's/\|\| !r\.Signed //' $host TestFailureIsNoPart
mutant heads-without-body $forwarder 's/received == 0 && !endIsMarked\(response\)/false/' ./wharf/transport/wharfforwarder TestAnswersCut
mutant unpromised-statuses $forwarder 's/case promisesNotRun\(decoded\.Status\):/case false \&\& promisesNotRun(0):/' $host TestUnpromised
mutant items-unchecked wharf/transport/wharffrontend/jobs.go 's/range items \{\n\t\tif err := items\[i\]/range items[:0] {\n\t\tif err := items[i]/' $host TestItemCannotHold
mutant requests-unchecked wharf/transport/wharfhttpconn/conn.go 's/wharfcall\.ValidTarget\(r\.Target\)/wharfcall.ValidTarget("\/")/' \
	./wharf/transport/wharfhttpconn FuzzSend
mutant paces-ignored wharf/state/wharffleet/pick.go 's/ \* f\.factor\(&e\.Endpoint, sel\.now\)//' ./wharf/state/wharffleet \
	'TestSlowEndpointIsUsed|TestPlacementOfAlike'
mutant alike-paces-told-apart wharf/state/wharfpace/service.go 's/equalFactor = 1\.5/equalFactor = 1.01/' ./wharf/state/wharffleet \
	TestPlacementOfAlike
mutant paces-kept wharf/state/wharfpace/pace.go 's/maxWeight = 800/maxWeight = 800_000/' ./wharf/state/wharfpace TestEndpointThatChanges
mutant samples-not-told wharf/coordination/wharfallocator/samples.go 's/a\.options\.Paces\.Receive\(.*?\n/_ = samples\n/' \
	./wharf/coordination/wharfallocator TestAllocatorsLearn
mutant slow-callers-slow-endpoints wharf/transport/wharfforwarder/span.go 's/s\.sinkTime > span\/maxSinkShare/false/' \
	./wharf/transport/wharfforwarder TestEventSpan
sender=wharf/state/wharfcold/sender.go
cold=./wharf/state/wharfcold
mutant cold-limit-of-each-host $sender 's/share = Share\(/share = Total(e.PerSecond) + 0*Share(/' $cold TestSumOverAllHosts
mutant cold-sends-not-counted $sender 's/-len\(s\.recent\(e\.ID, now\)\)//' $cold TestSharesAreUsedWhole
mutant cold-second-by-a-fast-clock $sender 's/1050 \* time/900 * time/' $cold TestSumOverAllHosts
mutant cold-started-hosts-send $sender 's/ \|\| now\.Before\(s\.readyAt\)//' $cold TestSumOverAllHosts
mutant cold-shares-grow-at-once $sender 's/settleTime = 10 \* time\.Second/settleTime = time.Duration(0)/' $cold TestLargerShareWaits
mutant cold-bound-for-one-list $sender 's/maxViews = 2/maxViews = 1/' $cold TestTwoTotals
mutant cold-grants-unchecked wharf/state/wharffleet/requester.go \
	's/f\.coldRoom\(e, now\) == 0 \{/false {/' $fleet TestGrantsOfAnyAllocators
mutant cold-limit-ignored wharf/state/wharffleet/pick.go \
	's/ \|\| cold && sel\.keepsFrom\(f, e\)//' $host 'TestColdEndpointsGet|TestRestartedHostsKeep'
mutant cold-restarts-ignored wharf/state/wharffleet/cold.go \
	's/!e\.restartSuspectedAt\.IsZero\(\) \|\| e\.Unsettled/e.Unsettled/' $fleet TestRestartedEndpoint
mutant cold-after-evacuation-ignored wharf/coordination/wharfdirectory/cold.go \
	's/e\.Unsettled = .*/e.Unsettled = false/' $host TestZoneReturnsCold
mutant cold-word-from-before wharf/coordination/wharfdirectory/cold.go \
	's/d\.options\.OnWritten\(ids, d\.lastPoll\)/d.options.OnWritten(ids, time.Now())/' ./wharf/coordination/wharfdirectory TestWrittenRegistrations
mutant cold-view-for-each-row wharf/coordination/wharfdirectory/cold.go \
	's/sameIncarnation && !until\.After\(before\.coldUntil\)/false/' ./wharf/coordination/wharfdirectory TestRewrittenRegistrations
untrusted=./wharf-load/wharfuntrusted
mutant memory-not-counted wharf/state/wharfmemory/account.go \
	's/semaphore\.NewWeighted\(size\)/semaphore.NewWeighted(1 << 40)/' $untrusted TestAnnouncedBodiesThatStopShort
mutant stalled-bodies-kept wharf/state/wharfmemory/account.go \
	's/now\.Sub\(r\.markedAt\) >= stallTime/now.IsZero()/' ./wharf/state/wharfmemory TestStalledBodiesGiveWay
mutant slow-bodies-read wharf/transport/wharfbody/reader.go \
	's/SetReadDeadline\(windowEnd\)/SetReadDeadline(time.Time{})/' ./wharf/transport/wharfbody TestBodiesEndAtTheirBounds
mutant connections-not-bounded wharf/transport/wharfidle/closer.go \
	's/if c\.most == 0 \|\| /if true || /' $untrusted TestIdleConnectionsOfCallers
mutant side-ports-not-bounded wagtailwharfd/wharfservice/side.go \
	's/MaxHeaderBytes: sideHeaderBytes, ConnState: connections\.Track,//' $untrusted TestUnfinishedHeadsAtReadiness
mutant uploads-not-counted wharf/transport/wharfbody/reader.go \
	's/if err := a\.memory\.Grow\(ctx, int64\(cap\(a\.data\)\)\+size\); err != nil/if err := a.memory.Grow(ctx, 1); err != nil/' $untrusted TestGatewayUploadsThatStopShort
fleet=./wharf/state/wharffleet
directory=./wharf/coordination/wharfdirectory
evacuation=wharf/state/wharffleet/evacuation.go
mutant evacuations-ignored $evacuation 's/!e\.leaves\(\) && !f\.evacuations\.Includes\(e\.Zone\)/!e.leaves()/' $fleet TestEvacuatedEndpoints
mutant grants-on-the-way-sent $evacuation 's/p\.fleet\.current\(\) && !p\.fleet\.evacuations\.Includes\(p\.entry\.Zone\)/p.fleet.current()/' $fleet TestRequestsOnTheirWay
mutant snapshots-without-set wharf/coordination/wharfdirectory/directory.go 's/\|\| s\.Evacuations == nil //' $directory 'TestOlderBuilds|TestNotReady'
mutant polls-across-suspensions wharf/coordination/wharfdirectory/current.go 's/if took > maxPollTime \{/if took < 0 {/' $directory TestHostIsNotCurrent
mutant regions-ignored wharf/state/wharfregion/map.go 's/region != "" && slices\.Contains\(regions, region\)/region != "" || len(slices.Clone(regions)) >= 0/' \
	./wharf/coordination/wharfallocator TestRequestsStayInTheirRegions
share=./wharf/state/wharfshare
mutant claims-without-vacancy wharf/state/wharfshare/share.go \
	's/\ts\.claimable\.limit\(s\.burst - s\.level\)\n//' $share TestClaimedTokensStayWithinOneBucket
mutant overflow-granted-twice wharf/state/wharfshare/overflow.go \
	's/s\.take\(s\.last-int64\(age\), claimed\)/min(claimed, s.tokens[(s.last-int64(age)+slotCount)%slotCount])/' $share TestOverflowIsGrantedOnce
mutant nothing-claimed wharf/state/wharfshare/share.go \
	's/s\.claimable\.add\(s\.otherRate, from, now\)/_ = from/' ./wharf/coordination/wharflimiter 'TestSuddenLoadGetsTheBurst/61_hosts,_0.9'
mutant started-hosts-have-a-token-each wharf/coordination/wharflimiter/limiter.go \
	's/return min\(restartTokens, .*?\n/return restartTokens + 0*together\n/' ./wharf/coordination/wharflimiter \
	'TestNoFaultAdmitsMoreThanTheLimit/570_hosts,_60_a_second,_all_hosts_killed_and_started_at_once'
mutant job-items-not-counted wharf/coordination/wharfjobstore/memory.go \
	's/min\(itemsSize\(items\), s\.options\.Memory\.Size\(\)\)/0 * itemsSize(items)/' $untrusted TestManyLargeBatchJobs
mutant parts-not-bounded wharf/transport/wharffrontend/jobs.go \
	's/if parts > maxParts \{/if false {/' $untrusted TestBatchJobsOfManyParts
runner=./wharf/coordination/wharfjobrunner
removed=wharf/coordination/wharfjobrunner/routes.go
mutant removed-routes-wait $removed 's/return table\.Version > job\.ConfigurationVersion/return false/' $runner TestItemsOfRemovedRouteAreGivenUp
mutant older-configurations-decide $removed 's/return table\.Version > job\.ConfigurationVersion/return true/' $runner \
	TestItemsWaitForTheVersionWithTheirRoute
mutant successors-ignored wharf/state/wharfroute/table.go 's/r != nil && r\.Kind == Batch \{\n\t\treturn r\n\t\}\n\treturn nil/false \&\& r != nil {\n\t\treturn r\n\t}\n\treturn nil/' \
	$runner TestItemsOfReplacedRouteAreRun
mutant failures-not-awaited wharf/coordination/wharfjobrunner/start.go 's/if i\.hasUnrecordedFailures\(\) \{/if false {/' $runner \
	TestItemWaitsUntilItsFailureIsStored
mutant failures-not-adopted wharf/coordination/wharfjobrunner/runner.go 's/failures := job\.FailuresOf\(index\)/failures := 0/' $runner \
	'TestFailuresOutliveTheirOwner|TestFailuresOutliveAPlannedStop'
mutant upload-errors-ignored wharf/transport/wharfhttpconn/upload.go 's/failure != nil \{/failure != nil \&\& false {/' \
	./wharf/transport/wharfforwarder TestResetDuringUploadIsNoEnd
mutant any-status-is-interim wharf/state/wharfcall/call.go 's/status >= minInterimStatus && status < minFinalStatus && status != switchProtocols/status < minFinalStatus/' \
	./wharf/transport/wharfforwarder TestImpossibleStatusIsNoAnswer

exit $failed
