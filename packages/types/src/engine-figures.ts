/** Published figures of the engines that are the same for all of them. */

/** Factor by which the passes of a group take longer while weights are copied. */
export const copySlowdown = 1.15;
