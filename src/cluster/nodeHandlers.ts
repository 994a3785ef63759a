/** The RPC methods of a host as a member of the cluster. */
import type { Result } from "neverthrow";
import type { TrialParams, TrialReply, TrialReturn } from "../crashes/trial.js";
import type { Failure } from "../model/failure.js";
import { describeFailure } from "../model/failure.js";
import type { Address } from "../model/names.js";
import type { TermRecord } from "../ownership/ledgerRecords.js";
import type { ClusterView } from "../store/clusterView.js";
import type { Coordinator } from "./coordinator.js";
import type { Member } from "./membership.js";
import type { MessageChecks } from "./messageChecks.js";
import type { ConfigurationReply, FollowParams, FollowReply, News, Report, ResignReply, SucceedReply } from "./messages.js";
import { clusterMethods } from "./messages.js";
import type { NewsReceiver } from "./newsReceiver.js";
import type { PeerConnection, PeerHandlers } from "./peerConnection.js";
import type { Takeover } from "./takeover.js";

/** Dependencies of the methods. */
export interface NodeHandlersDependencies {
    self: Member;
    view: ClusterView;
    checks: MessageChecks;
    newsReceiver: Pick<NewsReceiver, "apply">;
    takeover: Pick<Takeover, "takeOverFrom">;
    /** The coordinator at this host, while it coordinates. */
    coordinator: () => Coordinator | undefined;
    onTermAnnounced: (term: TermRecord) => void;
}

/** Creates the methods. */
export function createNodeHandlers(
    { self, view, checks, newsReceiver, takeover, coordinator, onTermAnnounced }: NodeHandlersDependencies,
): PeerHandlers {
    return {
        [clusterMethods.follow]: (params: FollowParams, from: PeerConnection): FollowReply =>
            coordinator()?.follow(unwrapOrThrow(checks.follow(params, from.address)), from) ?? { accepted: false, runId: self.runId },
        [clusterMethods.news]: (news: News, from: PeerConnection) => {
            newsReceiver.apply(news, from);
        },
        [clusterMethods.report]: (report: Report, from: PeerConnection) => {
            const checked = coordinator() === undefined ? undefined : checks.report(report, from.address);
            if (checked !== undefined) {
                coordinator()?.report(checked, from);
            }
        },
        [clusterMethods.resign]: (): ResignReply => coordinator()?.resign() ?? { resigned: false },
        [clusterMethods.trial]: (params: TrialParams, from: PeerConnection): Promise<TrialReply> | TrialReply =>
            coordinator()?.grantTrial(unwrapOrThrow(checks.trial(params, from.address))) ?? { kind: "unavailable" },
        [clusterMethods.trialReturn]: (params: TrialReturn, from: PeerConnection) =>
            coordinator()?.takeBackTrial(unwrapOrThrow(checks.trialReturn(params, from.address))),
        [clusterMethods.succeed]: ({ address }: { address: Address }): SucceedReply => ({ accepted: takeover.takeOverFrom(address) }),
        [clusterMethods.announce]: (term: TermRecord, from: PeerConnection) => {
            onTermAnnounced(unwrapOrThrow(checks.term(term, from.address)));
        },
        [clusterMethods.configuration]: (): ConfigurationReply | undefined =>
            view.config === undefined ? undefined : { config: view.config.config, offset: view.config.offset },
    };
}

/** Returns a checked message. A failure is thrown, so that the calling host gets it as the answer to its call. */
function unwrapOrThrow<T>(checked: Result<T, Failure>): T {
    if (checked.isErr()) {
        throw new Error(describeFailure(checked.error));
    }
    return checked.value;
}
