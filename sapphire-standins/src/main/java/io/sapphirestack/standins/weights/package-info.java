/** Stand-in for the weight store that engines load models from. */
package io.sapphirestack.standins.weights;
