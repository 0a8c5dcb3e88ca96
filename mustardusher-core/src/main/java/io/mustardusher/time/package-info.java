/** Source of time, which tests replace by a clock that they advance themselves. */
package io.mustardusher.time;
