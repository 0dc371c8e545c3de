/** Entry point of the binary. */
import { DefaultFronts } from './fronts.js';
import { runMain } from './run-main.js';

runMain(new DefaultFronts());
