/** Interface of an experiment. Each file in `experiments/` has one as its default export. */

/** Measured figures by name. */
export type Figures = Readonly<Record<string, number | string | ReadonlyArray<Readonly<Record<string, number | string>>>>>;

/** A limit on one figure. */
export type Bound = {
	/** Name of the limited figure. */
	readonly figure: string;
	readonly atMost?: number;
	readonly atLeast?: number;
	/** The requirement that the bound comes from. */
	readonly source: string;
};

/** Figures of a run and the bounds on them. */
export type ExperimentResult = {readonly figures: Figures; readonly bounds: readonly Bound[]};

/** Options of a run. */
export type ExperimentOptions = {readonly seed: number; readonly log: (line: string) => void};

/** One experiment. */
export abstract class Experiment {
	/** One-line description for `bench -- list`. */
	abstract get summary(): string;
	abstract run(options: ExperimentOptions): Promise<ExperimentResult>;
}

/** Report that the runner prints as one JSON line. */
export type ExperimentReport = {
	readonly name: string;
	readonly seed: number;
	readonly pass: boolean;
	readonly figures: Figures;
	readonly bounds: Readonly<Record<string, Bound & {readonly held: boolean}>>;
};

/** Checks a result against its bounds. A bound on a figure that is missing or not a number fails. */
export function reportOf(name: string, seed: number, result: ExperimentResult): ExperimentReport {
	const bounds: Record<string, Bound & {held: boolean}> = {};
	for (const bound of result.bounds) {
		bounds[bound.figure] = {...bound, held: holds(bound, result.figures[bound.figure])};
	}

	const pass = Object.values(bounds).every(bound => bound.held);
	return {
		name, seed, pass, figures: result.figures, bounds,
	};
}

function holds(bound: Bound, figure: Figures[string] | undefined): boolean {
	if (typeof figure !== 'number' || Number.isNaN(figure)) {
		return false;
	}

	return figure <= (bound.atMost ?? Number.POSITIVE_INFINITY) && figure >= (bound.atLeast ?? Number.NEGATIVE_INFINITY);
}
