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
	's/if m\.promised\[host\] == epoch \{/if false \{/' $lease TestNoLeaseOutlivesItsReclaim
mutant promise-before-vote-ends wharf/coordination/wharflease/machine.go \
	's/if !m\.silent\(host, now\) \{/if false \{/' $lease TestNoLeaseOutlivesItsReclaim
mutant reclaim-in-new-generation wharf/coordination/wharflease/machine.go \
	's/m\.lost \|\| now\.Sub\(m\.seen\) <= m\.term\+m\.margin/m.lost/' $lease TestReclaimWaitsATermInANewGeneration
mutant lease-without-quorum wharf/coordination/wharflease/machine.go \
	's/others := m\.zone\.Quorum\(\) - 1/others := 1/' $lease 'TestNoLeaseOutlivesItsReclaim|TestLeaseNeedsAQuorum'
mutant fence-not-checked wagtailwharfd/wharfdaemon/daemon.go \
	's/return d\.member\.InForce\(\) && d\.rollout\.CaughtUp\(\)/return true/' $daemon TestHostCutOffAloneStopsKeyedWork
mutant owner-known-by-platform-only wharf/coordination/wharfquota/drawer.go \
	's/if zone != d\.zone \{/if true \{/' $daemon TestPlatformOutageStopsNoOnlineRequest
mutant grants-do-not-count wharf/state/wharfbucket/bucket.go \
	's/room := max\(0, b\.burst-b\.outstanding\)/room := b.burst/' ./wharf/state/wharfbucket TestEveryWindowHoldsRateAndBurst
mutant new-owner-starts-full wharf/coordination/wharfquota/owner.go \
	's/inherited: row\.Version != 0 && !last\.Untouched/inherited: false/' $daemon TestNewOwnerDoesNotStartWithAFullBurst
mutant zones-do-not-lend wharf/coordination/wharfquota/draw.go \
	's/if loans == 0 \{/if loans >= 0 {/' $daemon TestSkewedOrganisationGetsItsWholeRate
mutant lost-reply-is-a-conflict wharf/transport/wharfstore/client.go \
	's/return trace\.Wrap\(c\.settle\(ctx, commit\)\)/return trace.Wrap(err)/' ./wharf/transport/wharfstore TestCommitResolvesLostReplies
mutant submission-not-kept wharf/coordination/wharfjobs/jobs.go \
	's/\[\]wharfrow\.Condition\{wharfstorage\.At\(submissionKey, 0\), /[]wharfrow.Condition{/' $daemon 'TestResendsAtOneMomentAreOneJob'
mutant done-after-cancel wharf/coordination/wharfbatch/commit.go \
	's/\t\twharfstorage\.At\(wharfjob\.JobKey\(c\.open\.Job\), c\.open\.JobVersion\),\n//' $daemon TestNothingCompletesAfterACancelThatOthersMissed
mutant dead-owner-keeps-chunks wharf/coordination/wharfbatch/adopt.go \
	's/return !zones\[i\]\.Holds\(owner\.Host, owner\.Epoch\)/return false/' $daemon TestJobSurvivesKillsAndLostReplies
mutant key-passed-on wharf/transport/wharfentry/refusals.go \
	's/if token == "" \{/if true {/' $daemon TestEndpointsNeverSeeKeys
mutant streams-outlive-keys wharf/transport/wharfentry/server.go \
	's/a\.cancel\(ErrWithdrawn\)/_ = a/' $daemon TestWithdrawnKey
mutant accepted-before-confirmed wharf/coordination/wharfrollout/apply.go \
	's/result\.InForce = len\(result\.Unconfirmed\) == 0/result.InForce = true/' $daemon TestConfigurationIsNotAccepted
mutant parent-not-checked wharf/coordination/wharfrollout/apply.go \
	's/if present\.Version != parent \{/if false {/; s/wharfstorage\.At\(currentKey, version\)\}/wharfstorage.At(currentKey, version)}[:0]/' $daemon TestRacingOperators
mutant signature-not-checked wharf/coordination/wharfrollout/apply.go \
	's/if len\(signers\) < r\.options\.Needed \{/if false {/' $daemon TestBundleThatIsInvalid
mutant no-reservation wharf/coordination/wharfonce/once.go \
	's/wharfstorage\.At\(request\.key\(\), 0\)\}/wharfstorage.At(request.key(), 0)}[:0]/' $daemon TestNonRepeatableRequestsRunAtMostOnce
mutant retried-though-sent wharf/transport/wharfentry/plain.go \
	's/mayRepeat := c\.route\.Repeatable \|\| !c\.sent/mayRepeat := true/' $daemon 'TestNonRepeatable|TestNotRunIsTrue'
mutant unknown-called-not-run wharf/transport/wharfentry/plain.go \
	's/return endpointRefusal\(err, c\.sent\)/return errNotReached/' $daemon TestNotRunIsTrue
mutant answers-not-checked wharf/protocol/wharfapi/api.go \
	's/return strings\.HasSuffix\(c\.ID, requestID\)/return strings.HasSuffix(requestID, "")/' $daemon TestCallerGetsItsOwnWholeAnswer
mutant cut-stream-looks-whole wharf/protocol/wharfevents/reader.go \
	's/return nil, ErrCutShort/return nil, io.EOF/' $daemon TestCallerGetsItsOwnWholeAnswer
mutant silence-not-bounded wharf/transport/wharfengine/client.go \
	's/time\.AfterFunc\(limit, func\(\) \{ cancel\(ErrSilent\) \}\)/time.AfterFunc(time.Hour, func() {})/; s/w\.timer\.Reset\(limit\)/_ = limit/' $daemon TestSilentConnectionsAreLeft
mutant poison-not-shared wagtailwharfd/wharfdaemon/spread.go \
	's/_ = d\.peers\.Strike\(ctx, to, strike\)/_ = strike/' $daemon TestPoisonIsBounded
mutant stop-without-waiting wagtailwharfd/wharfdaemon/leave.go \
	's/if err := d\.callers\.Shutdown\(limit\); err != nil/if err := d.callers.Close(); err != nil/' $daemon TestRollingRestart
mutant list-of-leavers-ignored wharf/state/wharfpick/picker.go \
	's/settings\.Leaving \|\| leaving\[settings\.Name\]/settings.Leaving/' $daemon TestLeavingEndpoint
mutant orders-not-read-back wharf/coordination/wharforder/orders.go \
	's/o\.steady\[endpoint\] == version && o\.rounds%steadyRounds != 0/o.steady[endpoint] == version/' $daemon TestOrdersEnd
mutant batch-stays wharf/coordination/wharfbatch/runner.go \
	's/i >= 0 && room < 0/false \&\& i >= 0 \&\& room < 0/' $daemon TestBatchGivesWay

book=./wharf/coordination/wharfjobbook
mutant any-host-lists wharf/coordination/wharfjobbook/change.go \
	's/next\.Ended \|\| next\.Owner != b\.options\.Host \|\| next\.Incarnation != b\.options\.Incarnation/next.Ended/' $book TestHistoriesOfOneJobAreLinearizable
mutant unknown-submission-refused wharf/coordination/wharfjobbook/book.go \
	's/return b\.settle\(ctx, s\)/return wharfrecords.ErrUnavailable/' $book TestHistoriesOfOneJobAreLinearizable
mutant lost-reply-repeated wharf/coordination/wharfjobbook/change.go \
	's/if seen\.Change == id/if false/' $book TestHistoriesOfOneJobAreLinearizable
mutant older-relays-taken wharf/coordination/wharfgossip/spread.go \
	's/ \|\| r\.Sequence <= p\.loads//' ./wharf/coordination/wharfgossip TestRelayedChangesOfAnOlderMessageAreNotTaken
mutant stop-repeated-cuts wagtailwharfd/main.go \
	's/received == os\.Interrupt/received != nil/' ./wagtailwharfd TestOnlyASecondInterruptCutsADrainShort

fleet=./wharf/state/wharffleet
mutant word-of-peers-ignored wharf/state/wharffleet/health.go \
	's/if e\.run >= runToEject && !e\.until\.After\(now\)/if false/' $fleet TestHostsLearnFromEachOtherThatAnEndpointBreaksOff
mutant answers-of-peers-ignored wharf/state/wharffleet/health.go \
	's/case load\.Served > 0:\n\t\t\te\.run = 0/case load.Served > 0:/' $fleet TestEndpointsThatLoseSomeAnswersStay
mutant own-faults-taken-back wharf/state/wharffleet/health.go \
	's/\t\t\tif e\.told \{/\t\t\tif true {/' $fleet TestWordOfPeersIsTakenBackByPeersAndOwnFaultsAreNot
mutant last-attempts-are-trials wharf/state/wharffleet/health.go \
	's/return !once && /return /' $fleet TestRequestsThatRunOnceAreNoTrials
mutant ring-not-shared-out wharf/state/wharffleet/ring.go \
	's/f\.position = float64\(rank\) \/ float64\(max\(1, count\)\)/f.position = 0/' $fleet TestHostsOfALargeZoneShareEachEndpointWithFew
mutant crowded-part-not-left wharf/state/wharffleet/pick.go \
	's/if i >= arc && d\.free && [^{]*\{/if i >= arc {/' $fleet TestHostWithFullEndpointsGoesOn
mutant neighbours-one-sided wharf/coordination/wharfgossip/circle.go \
	's/min\(distance, count-distance\)/distance/' ./wharf/coordination/wharfgossip TestHostsThatShareEndpointsAreCloseToEachOther
mutant levels-of-another-roll wharf/coordination/wharflimiter/roll.go \
	's/levels\.Roll != r\.mark \|\| //' ./wharf/coordination/wharflimiter TestLevelsOfAnotherConfigurationAreGuessed
mutant settled-before-listed wagtailwharfd/wharfhost/members.go \
	's/m\.settled = m\.listed/m.settled = true/' ./wagtailwharfd/wharfhost TestHostsThatStartAtOnceDoNotTakeThemselvesForTheOnlyOne
mutant silent-owner-uses-up-terms wharf/coordination/wharfquota/drawer.go \
	's/ctx, cancel := context\.WithTimeout\(ctx, askTimeout\)/ctx, cancel := context.WithCancel(ctx)/' ./wharf/coordination/wharfquota TestSilentOwnerDoesNotUseUpTheTokensOfTheNext

exit $failed
