"use strict";
// The page is complete without scripts; this one replaces the overview with each event of the stream.
const live = document.getElementById("live"), statusElement = document.getElementById("pulse");
const events = new EventSource("/events");
events.onmessage = (event) => { live.innerHTML = event.data; statusElement.textContent = "live"; statusElement.className = ""; };
events.onerror = () => { statusElement.textContent = "no word from this front; trying again"; statusElement.className = "warn"; };
