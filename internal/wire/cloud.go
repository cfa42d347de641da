package wire

// MachineType is a type of machine that the cloud rents out (protocol: "GET /flavors").
type MachineType struct {
	Name        string   `cbor:"sku"`
	CPUs        float64  `cbor:"cpus"`
	GPUs        float64  `cbor:"gpus"`
	MemGB       float64  `cbor:"memGb"`
	CacheGB     float64  `cbor:"cacheGb"`
	FetchGBPerS float64  `cbor:"fetchGbPerS"`
	Price       float64  `cbor:"hourly"`      // per hour
	SpotPrice   float64  `cbor:"marketPrice"` // current price per hour
	BootS       float64  `cbor:"readyS"`
	Zones       []string `cbor:"paddocks"`
}

// MachineTypes lists the machine types that the cloud offers.
type MachineTypes struct {
	Types []MachineType `cbor:"breeds"`
}

// RentalRequest asks the cloud for machines (protocol: "POST /rentals"). RequestID makes it
// idempotent: the cloud answers a repeated RequestID with the machines that it granted the
// first time. An ID must therefore never be reused for a different rental.
type RentalRequest struct {
	RequestID string `cbor:"hire"`
	Type      string `cbor:"breed"`
	Zone      string `cbor:"paddock"`
	Spot      bool   `cbor:"strays"`
	Count     int    `cbor:"count"`
}

// Refusal is the body of a 503 response from the cloud.
type Refusal struct {
	Error string `cbor:"error"`
}

// MachineNames lists the IDs of machines that were rented or are to be returned.
type MachineNames struct {
	Machines []string `cbor:"posts"`
}

// RentalState is the state of a machine in the cloud's list (protocol: "GET /rentals").
type RentalState string

// States of a machine in the cloud's list.
const (
	MachineBooting RentalState = "starting"
	MachineRunning RentalState = "running"
	MachineFailed  RentalState = "failed"
)

// ListedMachine is an entry of the cloud's list of machines.
type ListedMachine struct {
	ID    string      `cbor:"nameId"`
	Addr  string      `cbor:"address"`
	Type  string      `cbor:"breed"`
	Zone  string      `cbor:"paddock"`
	Spot  bool        `cbor:"strays"`
	State RentalState `cbor:"stance"`
	AgeS  float64     `cbor:"ageS"` // seconds since the rental, as of the time that the list describes
}

// MachineList is a page of the cloud's list of machines. The list lags behind the actual
// state.
type MachineList struct {
	Machines []ListedMachine `cbor:"posts"`
	More     bool            `cbor:"truncated"` // there are further pages
}
