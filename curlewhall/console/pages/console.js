"use strict";
// The page is whole without this; with it the fleet is shown anew once a second.
const live = document.getElementById("live"), pulse = document.getElementById("pulse");
const events = new EventSource("/events");
events.onmessage = (event) => { live.innerHTML = event.data; pulse.textContent = "live"; pulse.className = ""; };
events.onerror = () => { pulse.textContent = "no word from this front; trying again"; pulse.className = "warn"; };
