import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Returns random numbers from 0 to 1, the same sequence for the same seed. */
export type RandomSource = () => number;

/** Creates a random source. */
export function createRandomSource(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
