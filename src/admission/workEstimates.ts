/**
 * Learns how work times are distributed, by kind of request.
 *
 * Load pattern: requests of one kind whose work times differ several-fold, and a few in a hundred that take many times the mean. With such
 * a distribution the requests that have run longest have the most work left, while the mean less the elapsed time falls.
 */
import { hash } from "../model/rendezvous.js";

/** Bounds of the buckets grow by this factor, so an estimate within a bucket is off by at most 20 %. */
const bucketRatio = 1.2;
const logBucketRatio = Math.log(bucketRatio);

/** 1.2^72 ms is about 500 s, more than any deadline. */
const bucketCount = 72;
const maxWorkMs = bucketRatio ** bucketCount;

/** Lower bounds of the buckets, and the upper bound of the last. */
const boundsMs = Float64Array.from({ length: bucketCount + 1 }, (_, index) => bucketRatio ** index);

/** Kinds beyond this number share one distribution. Names of kinds come from other hosts, so their number has to be bounded. */
const maxKinds = 64;

/** The weights of all observations are halved when their sum exceeds this, so that older observations fade. */
const maxWeight = 1_024;

/** Shape assumed before any observation: quantiles of a log-normal distribution of spread 0.7 with mean 1, each of weight `priorWeight`. */
const priorRatios = [0.27, 0.42, 0.56, 0.7, 0.88, 1.1, 1.46, 2.28];
const priorWeight = 0.5;

/** Mean logarithm of the assumed distribution less the logarithm of its mean. */
const priorMeanLog = -0.245;

/** A work time counts as at most this multiple of the mean, so that one absurd observation has a bounded effect. */
const maxMeanMultiple = 30;

/**
 * Limit on the share of one source in the weight of the recent observations. An observation keeps the minimum weight, so that a queue with
 * a single source still learns.
 */
const maxSourceShare = 0.25;
const minSourceWeight = 0.25;

/** Sources are counted in this many groups, by hash; the limit applies from `minCounted` observations on. */
const sourceGroups = 64;
const minCounted = 32;

/** The derived sums are updated after this many observations, or after each one while there are few. */
const refreshInterval = 16;
const fewObservations = 64;

/**
 * Beyond most of what was seen, a request is expected to run on for this share of its elapsed time, and at least for this share of the
 * mean. The assumption has the weight of `tailWeight` observations.
 */
const tailShare = 0.3;
const tailWeight = 0.5;

/** Minimum weight of an observation in the mean logarithm. */
const minLogWeight = 0.01;

/**
 * Waits for a slot are planned with the work that is done within this many mean work times. The whole remaining work of a few long requests
 * would overstate the wait, since they keep only their own slots.
 */
const nearMeans = 1;

/** A kind with fewer observations than this is of unknown cost. */
const minKnown = 16;

/** Quantile that is planned with, the same as that of `WorkTimeQuantile`. */
const plannedQuantile = 0.85;

/** Distribution of the work times of one kind of requests, at a target of average speed. */
export class WorkDistribution {
    /** Sum of the weights, and of weight times work time, of each bucket. */
    private readonly weights = new Float64Array(bucketCount);
    private readonly works = new Float64Array(bucketCount);
    /** The same sums over all buckets from an index on. */
    private readonly weightFrom = new Float64Array(bucketCount + 1);
    private readonly workFrom = new Float64Array(bucketCount + 1);
    private readonly sourceCounts = new Float64Array(sourceGroups);
    private countedTotal = 0;
    private totalWeight = 0;
    private observations = 0;
    private unrefreshed = 0;
    private plannedMs = 0;
    private middleMs = 0;
    private meanLogValue: number;

    /**
     * @param index number of the kind, for arrays with a value for each kind
     * @param typicalMs mean work time assumed before any observation
     */
    constructor(readonly index: number, typicalMs: number) {
        const startMs = isPlausible(typicalMs) ? Math.min(maxWorkMs, Math.max(1, typicalMs)) : 1;
        for (const ratio of priorRatios) {
            this.add(startMs * ratio, priorWeight);
        }
        this.meanLogValue = Math.log(startMs) + priorMeanLog;
        this.refresh();
    }

    /** Mean work time. */
    get meanMs(): number {
        return (this.workFrom[0] as number) / (this.weightFrom[0] as number);
    }

    /** Mean logarithm of the observed durations, which long requests shift far less than the mean. */
    get meanLog(): number {
        return this.meanLogValue;
    }

    /** True once enough requests have been observed. */
    get isKnown(): boolean {
        return this.observations >= minKnown;
    }

    /** Work time that half of the requests do not exceed. */
    get medianMs(): number {
        return this.middleMs;
    }

    /** Work time that a request is assumed to need when its target is chosen: the upper part of the distribution while it is unknown. */
    get assumedMs(): number {
        return this.isKnown ? this.meanMs : this.plannedMs;
    }

    /** Returns the share of the requests that need more work than this. */
    shareAbove(workMs: number): number {
        const index = bucketOf(workMs);
        const lowerMs = boundsMs[index] as number;
        const upperMs = boundsMs[index + 1] as number;
        const share = Math.min(1, Math.max(0, (upperMs - workMs) / (upperMs - lowerMs)));
        return ((this.weightFrom[index + 1] as number) + share * (this.weights[index] as number)) / (this.weightFrom[0] as number);
    }

    /**
     * Returns the expected remaining work of a request that has done some already.
     * @param doneMs work done, at a target of average speed; negative counts as none
     */
    residualMs(doneMs: number): number {
        if (!(doneMs > 0)) {
            return this.meanMs;
        }
        if (doneMs >= maxWorkMs) {
            return maxWorkMs * tailShare;
        }
        const index = bucketOf(doneMs);
        const lowerMs = boundsMs[index] as number;
        const upperMs = boundsMs[index + 1] as number;
        const share = Math.min(1, Math.max(0, (upperMs - doneMs) / (upperMs - lowerMs)));
        const partWeight = share * (this.weights[index] as number);
        const weight = (this.weightFrom[index + 1] as number) + partWeight;
        const workMs = (this.workFrom[index + 1] as number) + partWeight * (upperMs + doneMs) / 2;
        const assumedMs = tailShare * Math.min(maxWorkMs, Math.max(this.meanMs, doneMs));
        return (Math.max(0, workMs - weight * doneMs) + tailWeight * assumedMs) / (weight + tailWeight);
    }

    /**
     * Returns the expected part of a request's remaining work that is done within the next `nearMeans` mean work times.
     * @param doneMs work done, at a target of average speed; negative counts as none
     */
    nearResidualMs(doneMs: number): number {
        const nearMs = this.meanMs * nearMeans;
        const fromMs = doneMs > 0 ? Math.min(doneMs, maxWorkMs) : 0;
        const aheadShare = this.shareAbove(fromMs);
        const beyondShare = this.shareAbove(fromMs + nearMs);
        const restMs = this.residualMs(fromMs) * aheadShare - this.residualMs(fromMs + nearMs) * beyondShare;
        return aheadShare <= 0 ? nearMs : Math.min(nearMs, Math.max(0, restMs / aheadShare));
    }

    /**
     * Records the duration of a request; one that no clock can have measured is ignored.
     * @param tookMs time that the target took
     * @param slowness work time at this target divided by the average
     * @param source identifies who sent the request; the share of any one source is limited
     */
    observe(tookMs: number, slowness: number, source: string): void {
        const workMs = tookMs / slowness;
        if (!isPlausible(tookMs) || !isPlausible(workMs)) {
            return;
        }
        const weight = this.weightOfSource(source);
        const limitMs = this.meanMs * maxMeanMultiple;
        this.add(Math.min(limitMs, workMs), weight);
        this.observations += 1;
        const logWeight = weight * Math.max(minLogWeight, 1 / (this.observations + 1));
        this.meanLogValue += logWeight * (Math.log(Math.max(1, Math.min(limitMs, tookMs))) - this.meanLogValue);
        this.unrefreshed += 1;
        if (this.unrefreshed >= refreshInterval || this.observations <= fewObservations) {
            this.refresh();
        }
    }

    private add(workMs: number, weight: number): void {
        const index = bucketOf(workMs);
        this.weights[index] = (this.weights[index] as number) + weight;
        this.works[index] = (this.works[index] as number) + weight * workMs;
        this.totalWeight += weight;
        if (this.totalWeight > maxWeight) {
            this.totalWeight /= 2;
            halve(this.weights);
            halve(this.works);
        }
    }

    /** Counts an observation of a source and returns its weight. */
    private weightOfSource(source: string): number {
        const group = hash(source) % sourceGroups;
        const count = (this.sourceCounts[group] as number) + 1;
        this.sourceCounts[group] = count;
        this.countedTotal += 1;
        const weight = this.countedTotal < minCounted
            ? 1
            : Math.min(1, Math.max(minSourceWeight, (this.countedTotal - count) / count * maxSourceShare / (1 - maxSourceShare)));
        if (this.countedTotal > maxWeight) {
            this.countedTotal /= 2;
            halve(this.sourceCounts);
        }
        return weight;
    }

    private refresh(): void {
        this.unrefreshed = 0;
        let weight = 0;
        let workMs = 0;
        const plannedWeight = this.totalWeight * (1 - plannedQuantile);
        let isPlanned = false;
        let isMiddleFound = false;
        for (let index = bucketCount - 1; index >= 0; index--) {
            weight += this.weights[index] as number;
            workMs += this.works[index] as number;
            this.weightFrom[index] = weight;
            this.workFrom[index] = workMs;
            if (!isPlanned && weight >= plannedWeight) {
                this.plannedMs = middleOf(index);
                isPlanned = true;
            }
            if (!isMiddleFound && weight >= this.totalWeight / 2) {
                this.middleMs = middleOf(index);
                isMiddleFound = true;
            }
        }
    }
}

/** Distributions of work times, by kind of request. */
export class WorkEstimates {
    private readonly kinds = new Map<string, WorkDistribution>();
    private rest: WorkDistribution | undefined;

    /**
     * Returns the distribution of a kind.
     * @param kind the kind
     * @param typicalMs mean work time assumed if the kind is new
     */
    ofKind(kind: string, typicalMs: number): WorkDistribution {
        const known = this.kinds.get(kind);
        if (known !== undefined) {
            return known;
        }
        if (this.kinds.size >= maxKinds) {
            this.rest ??= new WorkDistribution(maxKinds, typicalMs);
            return this.rest;
        }
        const created = new WorkDistribution(this.kinds.size, typicalMs);
        this.kinds.set(kind, created);
        return created;
    }
}

function bucketOf(workMs: number): number {
    return workMs <= 1 ? 0 : Math.min(bucketCount - 1, Math.floor(Math.log(workMs) / logBucketRatio));
}

function middleOf(index: number): number {
    return ((boundsMs[index] as number) + (boundsMs[index + 1] as number)) / 2;
}

function isPlausible(durationMs: number): boolean {
    return durationMs >= 0 && Number.isFinite(durationMs);
}

function halve(values: Float64Array): void {
    for (let index = 0; index < values.length; index++) {
        values[index] = (values[index] as number) / 2;
    }
}
